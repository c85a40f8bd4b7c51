package httplog

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/merlindock/merlindock/ports"
)

// cachedList is a list of the platform with the tag under which it was read.
// Daemons read the lists every second and they seldom change: read whole each
// time, the list of 22 endpoints alone would pass the bytes that a daemon may
// spend on control. A platform that gives no tag is read whole.
type cachedList[T any] struct {
	mu   sync.Mutex // held over a read, so that an older one cannot replace a newer
	tag  string
	list []T
}

func (l *cachedList[T]) fetch(ctx context.Context, c *Client, path string) ([]T, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []T
	tag, err := c.exchange(ctx, http.MethodGet, c.base+path, nil, l.tag, &list)
	var status *statusError
	if errors.As(err, &status) && status.code == http.StatusNotModified && l.tag != "" {
		return l.list, nil
	}
	if err != nil {
		return nil, errors.Join(ports.ErrUnavailable, err)
	}
	l.tag, l.list = tag, list
	return list, nil
}
