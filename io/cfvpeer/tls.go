package cfvpeer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
)

// TLSConfig holds the certificate of a node and the authority that peers must have
// theirs from. It can be reloaded while in use.
type TLSConfig struct {
	certFile, keyFile, caFile string
	loaded                    atomic.Pointer[material]
}

type material struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// LoadTLS reads the files and returns their configuration.
func LoadTLS(certFile, keyFile, caFile string) (t *TLSConfig, err error) {
	t = &TLSConfig{certFile: certFile, keyFile: keyFile, caFile: caFile}
	return t, t.Reload()
}

// Reload reads the files again. After an error the earlier certificates stay in use.
func (t *TLSConfig) Reload() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load peer certificates: %w", err)
		}
	}()
	cert, err := tls.LoadX509KeyPair(t.certFile, t.keyFile)
	if err != nil {
		return err
	}
	ca, err := os.ReadFile(t.caFile)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return fmt.Errorf("%s: no certificate in it", t.caFile)
	}
	t.loaded.Store(&material{cert, pool})
	return nil
}

// Server returns the server's side: peers must show a certificate of the authority.
func (t *TLSConfig) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		NextProtos:     []string{"h2"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &t.loaded.Load().cert, nil },
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := t.loaded.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.cert},
				ClientCAs:    m.pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"h2"},
			}, nil
		},
	}
}

// client returns the client's side. The authority is checked at each connection, so that
// a reload takes effect; names are not, since entry VMs are addressed by IP number.
func (t *TLSConfig) client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection checks the chain against the reloadable authority
		VerifyConnection: func(s tls.ConnectionState) error {
			opts := x509.VerifyOptions{Roots: t.loaded.Load().pool, Intermediates: x509.NewCertPool()}
			for _, c := range s.PeerCertificates[1:] {
				opts.Intermediates.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(opts)
			return err
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &t.loaded.Load().cert, nil
		},
	}
}
