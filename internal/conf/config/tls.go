package config

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"

	"github.com/chestnutpond/chestnutpond/internal/conf/fields"
)

// maxPath bounds the name of a file in bytes.
const maxPath = 4096

// TLS is the identity of a process towards the other processes of the system.
// The zero value means plain TCP, which is allowed on loopback addresses only.
type TLS struct {
	// CertFile, KeyFile and CAFile are PEM files. A name that is not absolute
	// counts from the folder of the settings file.
	CertFile, KeyFile, CAFile string
	// Server asks every client for a certificate of the CA; nil before the files
	// are loaded and for plain TCP.
	Server *tls.Config
	// Client shows the certificate and takes only servers of the CA; nil like
	// Server.
	Client *tls.Config
}

// Enabled reports whether the settings name TLS files.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// readTLS reads the names of the TLS files. Without TLS anyone who reaches the
// inner address could start work, so all inner addresses must then be loopback.
func readTLS(m *fields.Map, inner, advertise string, entries []string) TLS {
	s, ok := m.MapOr("tls")
	if ok {
		t := TLS{CertFile: s.Text("cert_file", pathSyntax), KeyFile: s.Text("key_file", pathSyntax), CAFile: s.Text("ca_file", pathSyntax)}
		s.Done()
		return t
	}
	if m.Has("tls") {
		return TLS{}
	}
	const allowed = "loopback addresses, or tls with cert_file, key_file and ca_file"
	if inner != "" && !loopback(inner) {
		m.Report("inner_listen", fmt.Sprintf("is %q and there is no tls", inner), allowed)
	}
	if advertise != "" && !loopback(advertise) {
		m.Report("inner_advertise", fmt.Sprintf("is %q and there is no tls", advertise), allowed)
	}
	for _, e := range entries {
		if !loopback(e) {
			m.Report("entries", fmt.Sprintf("has %q and there is no tls", e), allowed)
			break
		}
	}
	return TLS{}
}

// pathSyntax is the form of the name of a file.
var pathSyntax = fields.Syntax{
	Allowed: "the name of a PEM file",
	Valid:   func(s string) bool { return s != "" && len(s) <= maxPath },
}

// load reads the files; faults are reported at their keys in m.
func (t TLS) load(settings string, m *fields.Map) (TLS, error) {
	if !t.Enabled() {
		return t, nil
	}
	s, ok := m.Map("tls")
	if !ok {
		return t, m.Err()
	}
	folder := filepath.Dir(settings)
	pool := t.readCA(folder, s)
	cert, loaded := t.readPair(folder, s)
	if loaded && pool != nil {
		verify(s, cert, pool)
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

// readCA returns the certificates of the CA, or nil.
func (t TLS) readCA(folder string, s *fields.Map) *x509.CertPool {
	data, ok := readPEM(folder, "ca_file", t.CAFile, s)
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

// readPair returns the certificate with its key.
func (t TLS) readPair(folder string, s *fields.Map) (tls.Certificate, bool) {
	certificate, ok := readPEM(folder, "cert_file", t.CertFile, s)
	key, keyOK := readPEM(folder, "key_file", t.KeyFile, s)
	if !ok || !keyOK {
		return tls.Certificate{}, false
	}
	cert, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		s.Report("cert_file", "does not fit key_file: "+err.Error(), "a PEM certificate and its private key")
		return tls.Certificate{}, false
	}
	return cert, true
}

// readPEM reads one file.
func readPEM(folder, key, name string, s *fields.Map) ([]byte, bool) {
	if !filepath.IsAbs(name) {
		name = filepath.Join(folder, name)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		s.Report(key, "cannot be read: "+err.Error(), "a PEM file that the process may read")
		return nil, false
	}
	return data, true
}

// verify checks that peers will accept the certificate, as server and as client.
func verify(s *fields.Map, cert tls.Certificate, pool *x509.CertPool) {
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
