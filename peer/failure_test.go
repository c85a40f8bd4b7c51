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

// All daemons are restarted at once while the log is down. None has a state to
// give, and each must say so rather than wait for the others for ever.
func TestHerdRestartWithLogDown(t *testing.T) {
	nodes := cluster(t, 9, 3, nil)
	for _, n := range nodes {
		if _, err := n.service.Bootstrap(context.Background()); !errors.Is(err, ErrNoManifest) {
			t.Errorf("%s: error %v, want ErrNoState", n.daemon.ID, err)
		}
	}
	// The log comes back for one of them.
	if err := nodes[4].accept(manifestAt(1, "one")); err != nil {
		t.Fatal(err)
	}
	nodes[4].service.AnnounceManifest()
	for _, n := range nodes {
		n.waitFor(t, 1)
	}
}

// A zone's daemons stop without a word and the list goes on naming them. The
// others must not wait for them when a manifest is accepted.
func TestManifestSpreadsWithoutAZone(t *testing.T) {
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

// A daemon is replaced and the list does not yet name it, so that no neighbour
// opens exchanges with it. It has to ask for itself.
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

// A neighbour that was cut off comes back with an earlier manifest. It must get
// the later one and nobody may follow it back.
func TestEarlierRevisionIsNotFollowed(t *testing.T) {
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

// Two neighbours announce a manifest, and the one that is asked for it dies. The
// other's announcement came while the first was being asked and will not come
// again for an hour.
func TestFetchGoesOnWithAnotherHolder(t *testing.T) {
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

// The callee's state is asked for by more callers than it serves at once. It
// refuses some instead of holding a whole manifest for each.
func TestServedCallsAreBounded(t *testing.T) {
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

// Someone opens connections without end. Those beyond the bound are closed, and
// a place is free again when another one ends.
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
		t.Error("a connection beyond the bound is served")
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

// write puts a new certificate for the name, its key and the authority into dir.
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

// Someone on the network of the daemons has a certificate of another authority,
// or one of this authority for another purpose. It must not be able to push a
// manifest or to read one.
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

// Certificates are renewed while the daemon runs, and a renewal may be caught
// half done. The daemon takes the new ones when they are whole and goes on with
// the old ones until then.
func TestTLSFilesAreReadAgain(t *testing.T) {
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
