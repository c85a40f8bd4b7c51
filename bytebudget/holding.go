package bytebudget

import (
	"context"
	"slices"
	"time"
)

// Holding is the part of a budget that one request takes. A nil *Holding takes none. It is not
// safe for concurrent use.
type Holding struct {
	budget *Budget
	owner  string
	give   func()

	// Guarded by Budget.mu.
	bytes      int64
	progressAt time.Time
	finished   bool // nothing is missing, so it no longer gives way
	isShed     bool
	want       int64         // bytes that it waits for
	granted    chan struct{} // closed when it has got them; nil: it does not wait
}

// Grow takes as much as is needed for the given number of bytes. It waits for room, at most
// MaxWait, and returns ErrNoRoom, ErrShed or the error of the context.
func (h *Holding) Grow(ctx context.Context, bytes int64) error {
	if h == nil || h.budget == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	switch short, _ := b.shortage(h, bytes); {
	case h.isShed:
		b.mu.Unlock()
		return ErrShed
	case bytes > b.size:
		b.mu.Unlock()
		return ErrNoRoom
	case bytes <= h.bytes || short == 0 && len(b.waiting) == 0:
		b.resize(h, bytes)
		h.progressAt = b.now()
		b.grant() // the holding may have become smaller
		b.mu.Unlock()
		return nil
	}
	h.want, h.granted = bytes, make(chan struct{})
	b.waiting = append(b.waiting, h)
	b.mu.Unlock()
	err := h.wait(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(other *Holding) bool { return other == h })
	h.granted = nil
	b.grant() // it may have stood before others
	return err
}

// wait waits until the holding has got what it wants.
func (h *Holding) wait(ctx context.Context) error {
	b := h.budget
	end := time.NewTimer(MaxWait)
	defer end.Stop()
	tick := time.NewTicker(recheckInterval)
	defer tick.Stop()
	for {
		b.mu.Lock()
		b.grant()
		if len(b.waiting) > 0 {
			b.makeRoom(h)
		}
		b.mu.Unlock()
		select {
		case <-h.granted:
			return nil
		case <-tick.C:
		case <-end.C:
			return ErrNoRoom
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Progress states that what is held is being filled.
func (h *Holding) Progress() {
	if h == nil || h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progressAt = h.budget.now()
}

// Finish states that nothing is missing, and that the given number of bytes remains. After it
// the holding is not shed. It returns ErrShed if that has happened.
func (h *Holding) Finish(bytes int64) error {
	if h == nil || h.budget == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.isShed {
		return ErrShed
	}
	h.finished = true
	b.resize(h, bytes)
	b.grant()
	return nil
}

// WasShed reports whether the holding had to give way, or was released.
func (h *Holding) WasShed() bool {
	if h == nil || h.budget == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.isShed
}

// Bytes returns how much the holding takes.
func (h *Holding) Bytes() int64 {
	if h == nil || h.budget == nil {
		return 0
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes
}

// Release returns all of the holding, which takes nothing from then on.
func (h *Holding) Release() {
	if h == nil || h.budget == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.finished, h.isShed = true, true
	b.waiting = slices.DeleteFunc(b.waiting, func(other *Holding) bool { return other == h })
	b.resize(h, 0)
	b.grant()
}
