package config

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"

	"github.com/chestnutpond/chestnutpond/internal/conf/fields"
)

// maxPathBytes is the maximum length of a file name.
const maxPathBytes = 4096

// TLS holds the mutual TLS settings of the gRPC connections between processes.
// The zero value means plain TCP, which is allowed on loopback addresses only.
type TLS struct {
	// CertFile, KeyFile and CAFile are PEM files. Relative names are resolved
	// against the directory of the settings file.
	CertFile, KeyFile, CAFile string
	// Server requires every client to have a certificate signed by the CA. It is
	// nil before the files are loaded and for plain TCP.
	Server *tls.Config
	// Client presents the certificate and accepts only servers whose certificate
	// is signed by the CA. It is nil whenever Server is.
	Client *tls.Config
}

// Enabled reports whether the settings name TLS files.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// readTLS reads the names of the TLS files. Without TLS, anyone who can connect
// to the gRPC address could start work, so all gRPC addresses must then be
// loopback addresses.
func readTLS(m *fields.Map, inner, advertise string, entries []string) TLS {
	s, ok := m.MapOr("tls")
	if ok {
		t := TLS{CertFile: s.Text("cert_file", pathSyntax), KeyFile: s.Text("key_file", pathSyntax), CAFile: s.Text("ca_file", pathSyntax)}
		s.ReportUnknownKeys()
		return t
	}
	if m.Has("tls") {
		return TLS{}
	}
	const allowed = "loopback addresses, or tls with cert_file, key_file and ca_file"
	if inner != "" && !isLoopback(inner) {
		m.Report("inner_listen", fmt.Sprintf("is %q but tls is not configured", inner), allowed)
	}
	if advertise != "" && !isLoopback(advertise) {
		m.Report("inner_advertise", fmt.Sprintf("is %q but tls is not configured", advertise), allowed)
	}
	for _, e := range entries {
		if !isLoopback(e) {
			m.Report("entries", fmt.Sprintf("has %q but tls is not configured", e), allowed)
			break
		}
	}
	return TLS{}
}

// pathSyntax accepts a file name.
var pathSyntax = fields.Syntax{
	Allowed: "the name of a PEM file",
	Valid:   func(s string) bool { return s != "" && len(s) <= maxPathBytes },
}

// load reads the TLS files and returns t with Server and Client set. Problems are
// reported at the keys in m.
func (t TLS) load(settings string, m *fields.Map) (TLS, error) {
	if !t.Enabled() {
		return t, nil
	}
	s, ok := m.Map("tls")
	if !ok {
		return t, m.Err()
	}
	dir := filepath.Dir(settings)
	pool := t.readCA(dir, s)
	cert, loaded := t.readKeyPair(dir, s)
	if loaded && pool != nil {
		verifyCertificate(s, cert, pool)
	}
	if err := m.Err(); err != nil {
		return TLS{}, err
	}
	t.Server = &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		MinVersion:   tls.VersionTLS13,
	}
	t.Client = &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
	}
	return t, nil
}

// readCA returns the CA certificates, or nil if there is a problem.
func (t TLS) readCA(dir string, s *fields.Map) *x509.CertPool {
	data, ok := readPEM(dir, "ca_file", t.CAFile, s)
	if !ok {
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		s.Report("ca_file", "has no certificate", "a PEM file with at least one certificate")
		return nil
	}
	return pool
}

// readKeyPair returns the certificate with its private key.
func (t TLS) readKeyPair(dir string, s *fields.Map) (tls.Certificate, bool) {
	certPEM, ok := readPEM(dir, "cert_file", t.CertFile, s)
	keyPEM, keyOK := readPEM(dir, "key_file", t.KeyFile, s)
	if !ok || !keyOK {
		return tls.Certificate{}, false
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		s.Report("cert_file", "does not match key_file: "+err.Error(), "a PEM certificate and its private key")
		return tls.Certificate{}, false
	}
	return cert, true
}

// readPEM returns the content of the PEM file that key names.
func readPEM(dir, key, name string, s *fields.Map) ([]byte, bool) {
	if !filepath.IsAbs(name) {
		name = filepath.Join(dir, name)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		s.Report(key, "cannot be read: "+err.Error(), "a PEM file that the process can read")
		return nil, false
	}
	return data, true
}

// verifyCertificate checks that peers will accept the certificate for both server
// and client authentication.
func verifyCertificate(s *fields.Map, cert tls.Certificate, pool *x509.CertPool) {
	intermediates := x509.NewCertPool()
	for _, der := range cert.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(c)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := cert.Leaf.Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}})
		if err != nil {
			s.Report("cert_file", "is not accepted by peers: "+err.Error(),
				"a valid certificate of the CA in ca_file, for server and client authentication")
			return
		}
	}
}
