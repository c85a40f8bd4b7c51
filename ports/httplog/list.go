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
	etag string
	list []T
}

func (l *cachedList[T]) fetch(ctx context.Context, c *Client, path string) ([]T, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []T
	tag, err := c.callWithETag(ctx, http.MethodGet, c.baseURL+path, nil, l.etag, &list)
	var status *statusError
	if errors.As(err, &status) && status.code == http.StatusNotModified && l.etag != "" {
		return l.list, nil
	}
	if err != nil {
		return nil, errors.Join(ports.ErrUnavailable, err)
	}
	l.etag, l.list = tag, list
	return list, nil
}
