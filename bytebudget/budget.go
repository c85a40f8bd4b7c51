// Package bytebudget bounds the bytes that a process holds for others, all together: heads and
// bodies of requests that callers send, and bodies of answers that are read ahead.
//
// It decides who gets room, who waits for it and who gives it up. It reads and closes nothing
// itself. docs/design/caller-limits.md says what counts.
package bytebudget

import (
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	// FreeBytes is how much of each body is held without taking it from the budget, so that
	// short bodies are read at any time. The number of connections bounds their sum.
	FreeBytes = 16 << 10
	// StallAfter is how long a holding that is still being filled may make no progress before
	// it gives way to one that waits for room.
	StallAfter = 500 * time.Millisecond
	// MaxWait bounds the wait for room. When it ends the room is held by complete requests,
	// which another daemon may not have.
	MaxWait = time.Second
	// recheckInterval is how often one that waits looks for holdings that have stalled.
	recheckInterval = 50 * time.Millisecond
	// ownerFraction is the part of the room for requests that one owner may hold.
	ownerFraction = 0.5
)

// Errors of Holding.
var (
	// ErrNoRoom reports that the budget had no room within MaxWait.
	ErrNoRoom = errors.New("bytebudget: no room")
	// ErrShed reports that the holding has to give way to another.
	ErrShed = errors.New("bytebudget: holding was shed")
)

// Kind is what the bytes belong to. Each kind may take a half of the budget at most, so that
// neither leaves nothing for the other.
type Kind uint8

// Kinds.
const (
	Requests Kind = iota
	Answers
	kindCount
)

// String returns the name of the kind in metrics.
func (k Kind) String() string { return [...]string{"requests", "answers"}[k] }

// Budget bounds the bytes that a process holds. A nil *Budget has no bound. It is safe for
// concurrent use.
type Budget struct {
	now  func() time.Time
	size int64 // bytes

	mu         sync.Mutex
	held       [kindCount]int64
	owners     map[string]int64 // bytes of requests by owner
	unfinished map[*Holding]struct{}
	waiting    []*Holding // in the order in which they came
	shed       int64      // holdings that had to give way
}

// New returns a budget of the given number of bytes.
func New(size int64, now func() time.Time) *Budget {
	return &Budget{now: now, size: size, owners: map[string]int64{}, unfinished: map[*Holding]struct{}{}}
}

// SizeFor returns the size of a budget of which each kind may take the given number of bytes.
func SizeFor(share int64) int64 { return share * int64(kindCount) }

// Share returns how many bytes one kind may take.
func (b *Budget) Share() int64 { return b.size / int64(kindCount) }

// MaxRequest returns the largest request that can be held; 0: any. One that exceeds the share
// of requests is held while there is no other.
func (b *Budget) MaxRequest() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Held returns how many bytes a kind takes now.
func (b *Budget) Held(k Kind) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[k]
}

// Shed returns how many holdings had to give way so far.
func (b *Budget) Shed() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shed
}

// TakeAnswer takes bytes for an answer, or returns them if the number is negative. It returns
// false, with nothing taken, if there is no room.
func (b *Budget) TakeAnswer(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > 0 && b.held[Answers]+bytes > b.Share() {
		return false
	}
	b.held[Answers] += bytes
	return true
}

// Request returns the holding of a request that takes nothing yet. owner is whose share of the
// room it takes. give is called, with the budget locked, when the holding has to give way; it
// must return at once. The caller then releases the holding soon.
func (b *Budget) Request(owner string, give func()) *Holding {
	return &Holding{budget: b, owner: owner, give: give}
}

// shortage returns how many bytes must be released before a holding may have the given size;
// 0: none. ownerFull states that others of its owner must release them.
func (b *Budget) shortage(h *Holding, bytes int64) (short int64, ownerFull bool) {
	others := b.held[Requests] - h.bytes
	if others == 0 {
		return max(0, bytes-b.size), false
	}
	if short = others + bytes - b.Share(); short > 0 {
		return short, false
	}
	ofOwner := b.owners[h.owner] - h.bytes
	ownerShare := int64(ownerFraction * float64(b.Share()))
	if short = ofOwner + bytes - ownerShare; short > 0 && ofOwner > 0 {
		return short, true
	}
	return 0, false
}

// resize changes what a holding takes.
func (b *Budget) resize(h *Holding, bytes int64) {
	more := bytes - h.bytes
	b.held[Requests] += more
	if b.owners[h.owner] += more; b.owners[h.owner] == 0 {
		delete(b.owners, h.owner)
	}
	h.bytes = bytes
	if bytes > 0 && !h.finished {
		b.unfinished[h] = struct{}{}
	} else {
		delete(b.unfinished, h)
	}
}

// grant gives room to those that wait, in their order. One whose owner has its share does not
// hold up those of others.
func (b *Budget) grant() {
	blocked := false
	b.waiting = slices.DeleteFunc(b.waiting, func(h *Holding) bool {
		if blocked {
			return false
		}
		short, ownerFull := b.shortage(h, h.want)
		if short == 0 {
			b.resize(h, h.want)
			h.progressAt = b.now()
			close(h.granted)
		}
		blocked = short > 0 && !ownerFull
		return short == 0
	})
}

// makeRoom asks holdings that have stalled to give way to one that waits, the longest stalled
// first.
func (b *Budget) makeRoom(h *Holding) {
	missing, ownerFull := b.shortage(h, h.want)
	now := b.now()
	var stalled []*Holding
	for other := range b.unfinished {
		if ownerFull && other.owner != h.owner {
			continue
		}
		switch {
		case other.isShed:
			missing -= other.bytes // about to be released
		case other != h && other.granted == nil && now.Sub(other.progressAt) >= StallAfter:
			stalled = append(stalled, other)
		}
	}
	slices.SortFunc(stalled, func(x, y *Holding) int { return x.progressAt.Compare(y.progressAt) })
	for _, other := range stalled {
		if missing <= 0 {
			return
		}
		missing -= other.bytes
		other.isShed = true
		b.shed++
		other.give()
	}
}
