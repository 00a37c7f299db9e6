package config

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testCA is a certificate authority that signs the certificates of tests.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return testCA{cert, key}
}

// issue writes a certificate for 127.0.0.1 and its key to cert.pem and key.pem, and
// the CA certificate to ca.pem.
func (a testCA) issue(t *testing.T, dir string, until time.Time, usages ...x509.ExtKeyUsage) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: usages,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	writeFile(t, dir, "cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFile(t, dir, "key.pem", pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	writeFile(t, dir, "ca.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}))
}

func writeFile(t *testing.T, dir, name string, data []byte) {
	assert.NilError(t, os.WriteFile(filepath.Join(dir, name), data, 0o600))
}

// writeSettings writes the settings of an entry with TLS and returns the path.
func writeSettings(t *testing.T, dir string) string {
	text := strings.Replace(validEntry, "inner_listen: 127.0.0.1", "inner_listen: 10.0.0.1", 1) +
		"tls: {cert_file: cert.pem, key_file: key.pem, ca_file: ca.pem}\n"
	writeFile(t, dir, "entry.yaml", []byte(text))
	return filepath.Join(dir, "entry.yaml")
}

var bothUsages = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}

// Guards against a gRPC server that accepts clients without a certificate of the
// CA, and against a client that accepts any server.
func TestMutualTLS(t *testing.T) {
	ca := newTestCA(t)
	dir, foreignDir := t.TempDir(), t.TempDir()
	ca.issue(t, dir, time.Now().Add(time.Hour), bothUsages...)
	newTestCA(t).issue(t, foreignDir, time.Now().Add(time.Hour), bothUsages...)
	own, err := LoadEntry(writeSettings(t, dir))
	assert.NilError(t, err)
	foreign, err := LoadEntry(writeSettings(t, foreignDir))
	assert.NilError(t, err)
	noCertificate := own.TLS.Client.Clone()
	noCertificate.Certificates = nil
	tests := map[string]struct {
		server, client *tls.Config
		want           string
	}{
		"same CA":           {own.TLS.Server, own.TLS.Client, ""},
		"client of another": {own.TLS.Server, foreign.TLS.Client, "certificate"},
		"server of another": {foreign.TLS.Server, own.TLS.Client, "certificate"},
		"no certificate":    {own.TLS.Server, noCertificate, "certificate"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := handshake(t, tt.server, tt.client)
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

// handshake runs a TLS handshake and returns the error of the client, or else that
// of the server.
func handshake(t *testing.T, server, client *tls.Config) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	result := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			result <- err
			return
		}
		defer conn.Close()
		result <- tls.Server(conn, server).Handshake()
	}()
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: 10 * time.Second}, "tcp", l.Addr().String(), client)
	if err == nil {
		defer conn.Close()
	}
	if serverErr := <-result; err == nil {
		err = serverErr
	}
	return err
}

func TestTLSErrors(t *testing.T) {
	tests := map[string]struct {
		change func(t *testing.T, dir string, ca testCA)
		want   string
	}{
		"no key": {func(t *testing.T, dir string, _ testCA) {
			assert.NilError(t, os.Remove(filepath.Join(dir, "key.pem")))
		}, ":11:38: tls.key_file cannot be read: open "},
		"ca is no PEM": {func(t *testing.T, dir string, _ testCA) {
			writeFile(t, dir, "ca.pem", []byte("x"))
		}, ":11:56: tls.ca_file has no certificate; allowed: a PEM file with at least one certificate"},
		"key of another": {func(t *testing.T, dir string, ca testCA) {
			pair, err := os.ReadFile(filepath.Join(dir, "cert.pem"))
			assert.NilError(t, err)
			ca.issue(t, dir, time.Now().Add(time.Hour), bothUsages...)
			writeFile(t, dir, "cert.pem", pair)
		}, ":11:18: tls.cert_file does not match key_file: tls: private key does not match public key; allowed: a PEM certificate and its private key"},
		"expired": {func(t *testing.T, dir string, ca testCA) {
			ca.issue(t, dir, time.Now().Add(-time.Minute), bothUsages...)
		}, ":11:18: tls.cert_file is not accepted by peers: x509: certificate has expired"},
		"server only": {func(t *testing.T, dir string, ca testCA) {
			ca.issue(t, dir, time.Now().Add(time.Hour), x509.ExtKeyUsageServerAuth)
		}, ":11:18: tls.cert_file is not accepted by peers: x509: certificate specifies an incompatible key usage; allowed: a valid certificate of the CA in ca_file, for server and client authentication"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ca, dir := newTestCA(t), t.TempDir()
			ca.issue(t, dir, time.Now().Add(time.Hour), bothUsages...)
			tt.change(t, dir, ca)
			_, err := LoadEntry(writeSettings(t, dir))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}
