package httplog

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/merlindock/merlindock/ports"
)

// cachedList is a list of the platform with its ETag. Daemons read the lists
// every second although they rarely change: transferred in full each time, the
// list of 22 endpoints alone would exceed the control traffic that a daemon may
// cause. From a platform without ETags the list is read in full.
type cachedList[T any] struct {
	mu   sync.Mutex // held during a read, so that an older answer cannot replace a newer one
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
