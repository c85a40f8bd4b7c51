package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/peer/peerpb"
	"github.com/merlindock/merlindock/ports"
)

// Guards against daemons that wait for each other for ever when all are restarted at once
// while the log is unavailable and none has a manifest.
func TestBootstrapFailsWhenAllRestart(t *testing.T) {
	nodes := cluster(t, 9, 3, nil)
	for _, n := range nodes {
		if _, err := n.service.Bootstrap(context.Background()); !errors.Is(err, ErrNoManifest) {
			t.Errorf("%s: error %v, want ErrNoManifest", n.daemon.ID, err)
		}
	}
	// One of them can read the log again.
	if err := nodes[4].accept(manifestAt(1, "one")); err != nil {
		t.Fatal(err)
	}
	nodes[4].service.AnnounceManifest()
	for _, n := range nodes {
		n.waitFor(t, 1)
	}
}

// Guards against a manifest that is delayed by the daemons of a lost zone, which the list
// still contains.
func TestManifestSpreadsWithoutZone(t *testing.T) {
	nodes := cluster(t, 9, 3, nil)
	for i, n := range nodes {
		if i%3 == 0 {
			n.listener.Close()
			n.service.Close()
		}
	}
	if err := nodes[1].accept(manifestAt(5, "five")); err != nil {
		t.Fatal(err)
	}
	nodes[1].service.AnnounceManifest()
	for i, n := range nodes {
		if i%3 != 0 {
			n.waitFor(t, 5)
		}
	}
}

// Guards against a replaced daemon that gets no manifest because it is not in the list yet
// and no neighbour opens exchanges with it: it has to open them itself.
func TestUnlistedDaemonCatchesUp(t *testing.T) {
	nodes := cluster(t, 4, 2, func(_ int, o *Options) {
		list := o.Daemons()
		o.Daemons = func() []ports.Daemon { return list[:3] }
	})
	if err := nodes[0].accept(manifestAt(2, "two")); err != nil {
		t.Fatal(err)
	}
	nodes[0].service.AnnounceManifest()
	nodes[3].waitFor(t, 2)
}

// Guards against a return to an earlier manifest, which a neighbour still has that was
// disconnected. It must get the later one.
func TestEarlierRevisionIsNotFetched(t *testing.T) {
	nodes := cluster(t, 3, 1, nil)
	for i, n := range nodes {
		if err := n.accept(manifestAt(ports.Offset(10+i), "text")); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range nodes {
		n.waitFor(t, 12)
	}
}

// Guards against a manifest that is not fetched because the first daemon that announced it
// fails, while the announcement of the second one arrived during that fetch and is not
// repeated before the next periodic exchange.
func TestFetchRetriesWithAnotherHolder(t *testing.T) {
	asked, announced := make(chan struct{}), make(chan struct{})
	nodes := cluster(t, 3, 1, func(i int, o *Options) {
		o.Interval = time.Hour
		if i == 1 {
			o.FetchManifest = func(context.Context, neighbour.Revision) (Accepted, error) {
				close(asked)
				<-announced
				return Accepted{}, errNotLater
			}
		}
	})
	for _, n := range nodes[1:] {
		if err := n.accept(manifestAt(4, "four")); err != nil {
			t.Fatal(err)
		}
	}
	ctx := context.Background()
	if err := nodes[1].service.exchange(ctx, nodes[0].daemon.PeerAddress); err != nil {
		t.Fatal(err)
	}
	<-asked
	if err := nodes[2].service.exchange(ctx, nodes[0].daemon.PeerAddress); err != nil {
		t.Fatal(err)
	}
	close(announced)
	nodes[0].waitFor(t, 4)
}

// Guards against unbounded memory if many daemons fetch at once: calls beyond the limit are
// refused, since each may hold a complete manifest.
func TestConcurrentCallsAreBounded(t *testing.T) {
	s, err := New(Options{
		Self:        ports.Daemon{ID: "a"},
		LocalDigest: func(time.Time) LocalState { return LocalState{} },
		FetchManifest: func(context.Context, neighbour.Revision) (Accepted, error) {
			return Accepted{Manifest: make([]byte, neighbour.MaxManifestBytes+1)}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	h := &handler{service: s}
	ctx := context.Background()
	if _, err := h.Fetch(ctx, &peerpb.FetchRequest{}); status.Code(err) != codes.OutOfRange {
		t.Errorf("a manifest beyond the limit: %v", err)
	}
	s.fetches.TryAcquire(maxFetches)
	s.exchanges.TryAcquire(maxExchanges)
	if _, err := h.Fetch(ctx, &peerpb.FetchRequest{}); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("fetch beyond the limit: %v", err)
	}
	if _, err := h.Exchange(ctx, &peerpb.Digest{}); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("exchange beyond the limit: %v", err)
	}
}

// Guards against an unbounded number of connections. Those beyond the limit are closed, and
// closing an accepted one allows another.
func TestConnectionsAreBounded(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := &limitListener{Listener: inner, maxOpen: 1}
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	defer dial().Close()
	first := <-accepted
	second := dial()
	defer second.Close()
	if _, err := second.Read(make([]byte, 1)); err == nil {
		t.Error("a connection beyond the limit is served")
	}
	first.Close()
	first.Close()
	defer dial().Close()
	(<-accepted).Close()
}

// authority signs certificates for daemons.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, key: newKey(t)}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
		Subject: pkix.Name{CommonName: "authority"},
	}
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// write writes a new certificate for the name, its key and the authority to dir.
func (a *authority) write(dir, name string) *TLSFiles {
	key := newKey(a.t)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	f := &TLSFiles{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
		Name:        "merlindock",
	}
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.writePEM(f.Certificate, "CERTIFICATE", a.sign(leaf, key))
	a.writePEM(f.Key, "PRIVATE KEY", keyBytes)
	a.writePEM(f.Authority, "CERTIFICATE", a.sign(a.cert, a.key))
	return f
}

func (a *authority) sign(c *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

func (a *authority) writePEM(path, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, text, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// Guards against access to manifests by a process on the daemons' network that has a
// certificate of another authority, or one of this authority for another purpose.
func TestMutualTLS(t *testing.T) {
	good := newAuthority(t)
	for _, c := range []struct {
		name     string
		files    func(dir string) *TLSFiles
		accepted bool
	}{
		{"daemon", func(dir string) *TLSFiles { return good.write(dir, "merlindock") }, true},
		{"other authority", func(dir string) *TLSFiles { return newAuthority(t).write(dir, "merlindock") }, false},
		{"other name", func(dir string) *TLSFiles { return good.write(dir, "counter") }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			nodes := cluster(t, 2, 1, func(i int, o *Options) {
				o.TLS = good.write(t.TempDir(), "merlindock")
				if i == 1 {
					o.TLS = c.files(t.TempDir())
				}
			})
			err := nodes[1].service.exchange(context.Background(), nodes[0].daemon.PeerAddress)
			if (err == nil) != c.accepted {
				t.Errorf("error %v", err)
			}
		})
	}
}

// Guards against a daemon that is disconnected while its certificates are being renewed: it
// uses the old files until the new ones are complete and consistent.
func TestTLSFilesAreReloaded(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	f := a.write(dir, "merlindock")
	now := time.Now()
	first, err := f.load(now)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(f.Key, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	touch(t, f, now)
	if m, err := f.load(now); err != nil || m != first {
		t.Errorf("half-written key: error %v, changed %v", err, m != first)
	}
	a.write(dir, "merlindock")
	now = now.Add(time.Minute)
	touch(t, f, now)
	if m, err := f.load(now); err != nil || m == first {
		t.Errorf("renewed: error %v, changed %v", err, m != first)
	}
	missing := &TLSFiles{Certificate: filepath.Join(dir, "none")}
	if _, err := missing.config(); err == nil {
		t.Error("missing files were taken")
	}
}

func touch(t *testing.T, f *TLSFiles, at time.Time) {
	t.Helper()
	for _, name := range []string{f.Certificate, f.Key, f.Authority} {
		if err := os.Chtimes(name, at, at); err != nil {
			t.Fatal(err)
		}
	}
}
