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

// authority is a CA for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
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
	return authority{cert, key}
}

// issue writes cert.pem and key.pem for 127.0.0.1, and ca.pem.
func (a authority) issue(t *testing.T, folder string, until time.Time, usages ...x509.ExtKeyUsage) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: usages,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	secret, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	write(t, folder, "cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, folder, "key.pem", pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}))
	write(t, folder, "ca.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}))
}

func write(t *testing.T, folder, name string, data []byte) {
	assert.NilError(t, os.WriteFile(filepath.Join(folder, name), data, 0o600))
}

// settings writes an entry's settings with TLS.
func settings(t *testing.T, folder string) string {
	text := strings.Replace(validEntry, "inner_listen: 127.0.0.1", "inner_listen: 10.0.0.1", 1) +
		"tls: {cert_file: cert.pem, key_file: key.pem, ca_file: ca.pem}\n"
	write(t, folder, "entry.yaml", []byte(text))
	return filepath.Join(folder, "entry.yaml")
}

var bothUsages = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}

// Guards against an inner server that takes clients without a certificate of the
// CA, or a client that takes any server.
func TestMutualTLS(t *testing.T) {
	ca := newAuthority(t)
	folder, other := t.TempDir(), t.TempDir()
	ca.issue(t, folder, time.Now().Add(time.Hour), bothUsages...)
	newAuthority(t).issue(t, other, time.Now().Add(time.Hour), bothUsages...)
	own, err := LoadEntry(settings(t, folder))
	assert.NilError(t, err)
	stranger, err := LoadEntry(settings(t, other))
	assert.NilError(t, err)
	noCertificate := own.TLS.Client.Clone()
	noCertificate.Certificates = nil
	tests := map[string]struct {
		server, client *tls.Config
		want           string
	}{
		"same CA":           {own.TLS.Server, own.TLS.Client, ""},
		"client of another": {own.TLS.Server, stranger.TLS.Client, "certificate"},
		"server of another": {stranger.TLS.Server, own.TLS.Client, "certificate"},
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

// handshake returns the first error that either side sees.
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
		change func(t *testing.T, folder string, ca authority)
		want   string
	}{
		"no key": {func(t *testing.T, folder string, _ authority) {
			assert.NilError(t, os.Remove(filepath.Join(folder, "key.pem")))
		}, ":11:38: tls.key_file cannot be read: open "},
		"ca is no PEM": {func(t *testing.T, folder string, _ authority) {
			write(t, folder, "ca.pem", []byte("x"))
		}, ":11:56: tls.ca_file has no certificate; allowed: a PEM file with at least one certificate"},
		"key of another": {func(t *testing.T, folder string, ca authority) {
			pair, err := os.ReadFile(filepath.Join(folder, "cert.pem"))
			assert.NilError(t, err)
			ca.issue(t, folder, time.Now().Add(time.Hour), bothUsages...)
			write(t, folder, "cert.pem", pair)
		}, ":11:18: tls.cert_file does not fit key_file: tls: private key does not match public key; allowed: a PEM certificate and its private key"},
		"expired": {func(t *testing.T, folder string, ca authority) {
			ca.issue(t, folder, time.Now().Add(-time.Minute), bothUsages...)
		}, ":11:18: tls.cert_file is not accepted by peers: x509: certificate has expired"},
		"server only": {func(t *testing.T, folder string, ca authority) {
			ca.issue(t, folder, time.Now().Add(time.Hour), x509.ExtKeyUsageServerAuth)
		}, ":11:18: tls.cert_file is not accepted by peers: x509: certificate specifies an incompatible key usage; allowed: a valid certificate of the CA in ca_file, for server and client authentication"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ca, folder := newAuthority(t), t.TempDir()
			ca.issue(t, folder, time.Now().Add(time.Hour), bothUsages...)
			tt.change(t, folder, ca)
			_, err := LoadEntry(settings(t, folder))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}
