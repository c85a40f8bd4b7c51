package daemon

import (
	"crypto/tls"
	"hash/fnv"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// listen opens the listeners that Options does not provide.
func (d *Daemon) listen() (Listeners, error) {
	l := d.o.Listeners
	s := d.o.Settings
	for _, entry := range []struct {
		l       *net.Listener
		address string
	}{
		{&l.Callers, s.Listen.Callers},
		{&l.Admin, s.Listen.Admin},
		{&l.Peers, s.Listen.Peers},
	} {
		if *entry.l != nil {
			continue
		}
		opened, err := net.Listen("tcp", entry.address)
		if err != nil {
			return l, eris.Wrapf(err, "daemon: cannot listen on %s", entry.address)
		}
		*entry.l = opened
	}
	l.Callers, l.Admin = d.callers.Listen(l.Callers), d.operators.Listen(l.Admin)
	if s.TLS.CallersCert == "" {
		return l, nil
	}
	cert, err := newCertificate(s.TLS.CallersCert, s.TLS.CallersKey, s.TLS.ReloadInterval, d.o.Now)
	if err != nil {
		return l, err
	}
	l.Callers = tls.NewListener(l.Callers, &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: cert.get,
	})
	return l, nil
}

// certificate is a TLS certificate that is reloaded when its file changes, so
// that it can be renewed without a restart. If the new file cannot be read, the
// old certificate stays in use: at worst callers see an expired certificate,
// whereas an error would end the service for all of them.
type certificate struct {
	certFile, keyFile string
	interval          time.Duration
	now               func() time.Time

	mu         sync.Mutex
	current    *tls.Certificate
	checkedAt  time.Time
	modifiedAt time.Time // modification time of the loaded file
}

func newCertificate(certFile, keyFile string, interval time.Duration, now func() time.Time) (*certificate, error) {
	c := &certificate{certFile: certFile, keyFile: keyFile, interval: interval, now: now}
	c.modifiedAt = modTime(certFile)
	c.checkedAt = now()
	loaded, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, eris.Wrapf(err, "daemon: certificate %s", certFile)
	}
	c.current = &loaded
	return c, nil
}

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.checkedAt) < c.interval {
		return c.current, nil
	}
	c.checkedAt = now
	if changed := modTime(c.certFile); !changed.Equal(c.modifiedAt) {
		if loaded, err := tls.LoadX509KeyPair(c.certFile, c.keyFile); err == nil {
			c.current = &loaded
			c.modifiedAt = changed
		}
	}
	return c.current, nil
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// seedOf returns a random seed that differs by daemon and by start, so that
// daemons that start together do not act in lockstep.
func seedOf(id string, startedAt time.Time) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64() ^ uint64(startedAt.UnixNano())
}
