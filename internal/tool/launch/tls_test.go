package launch

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/chestnutpond/chestnutpond/internal/test/stand"
	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T, name string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	assert.NilError(t, err)
	return &authority{t: t, cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes ca.pem, cert.pem and key.pem into a folder.
func (a *authority) issue(folder, name string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	for file, data := range map[string][]byte{
		"ca.pem":   a.pem,
		"cert.pem": pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		"key.pem":  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}),
	} {
		assert.NilError(a.t, os.WriteFile(filepath.Join(folder, file), data, 0o600))
	}
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

const entryText = `name: entry-1
region: pampa
zone: pampa-a
listen: %s
inner_listen: %s
entries: [%s]
log: {address: %q, stream: s}
operators: [{name: op, token_sha256: 8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a}]
tls: {cert_file: cert.pem, key_file: key.pem, ca_file: ca.pem}
`

const agentText = `name: worker-1
region: pampa
zone: pampa-a
rack: r1
inner_listen: %s
status_listen: %s
entries: [%s]
accelerators: 8
worker: {address: %q}
upstream: {address: %q, slots: 8, connections: 64, kinds: [price_list]}
tls: {cert_file: cert.pem, key_file: key.pem, ca_file: ca.pem}
`

// TestMutualTLS guards against processes that cannot speak to each other when
// TLS is set, and against an entry that takes a peer without a certificate of
// its authority.
func TestMutualTLS(t *testing.T) {
	folder := t.TempDir()
	newAuthority(t, "ours").issue(folder, "process")
	log := httptest.NewServer(stand.NewLog("s").Handler())
	defer log.Close()
	worker := httptest.NewServer(stand.NewWorker("worker-1").Handler())
	defer worker.Close()
	upstream := httptest.NewServer(stand.NewUpstream().Handler())
	defer upstream.Close()
	inside, status := freeAddress(t), freeAddress(t)
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	entryFile := write("entry.yaml", fmt.Sprintf(entryText, freeAddress(t), inside, inside, log.URL))
	agentFile := write("agent.yaml", fmt.Sprintf(agentText, freeAddress(t), status, inside, worker.URL, upstream.URL))

	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { assert.Check(t, cmp.Nil(runEntry(ctx, entryFile))) })
	running.Go(func() { assert.Check(t, cmp.Nil(runAgent(ctx, agentFile))) })
	defer running.Wait()
	defer stop()

	assert.Assert(t, poll(func() bool { return isReady("http://" + status + "/readyz") }), "the agent has no home")
	t.Run("strangers", func(t *testing.T) { refuseStrangers(t, inside, folder) })
}

func refuseStrangers(t *testing.T, address, folder string) {
	ours, err := os.ReadFile(filepath.Join(folder, "ca.pem"))
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(ours))
	other := t.TempDir()
	newAuthority(t, "other").issue(other, "stranger")
	pair, err := tls.LoadX509KeyPair(filepath.Join(other, "cert.pem"), filepath.Join(other, "key.pem"))
	assert.NilError(t, err)
	tests := map[string]credentials.TransportCredentials{
		"plaintext":                 insecure.NewCredentials(),
		"without a certificate":     credentials.NewTLS(&tls.Config{RootCAs: pool}),
		"of another authority":      credentials.NewTLS(&tls.Config{RootCAs: pool, Certificates: []tls.Certificate{pair}}),
		"that does not know the CA": credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{pair}}),
	}
	for name, creds := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(creds))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err = inner.NewEntryClient(conn).Sync(ctx, &inner.SyncRequest{})
			assert.Assert(t, err != nil, "a stranger got the state")
		})
	}
}

func isReady(url string) bool {
	res, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func poll(reached func() bool) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return false
}
