package cfvpeer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
)

// TLSConfig holds the certificate of a node and the certificate authority that must have signed
// the certificates of peers. It can be reloaded while in use.
type TLSConfig struct {
	certFile, keyFile, caFile string
	current                   atomic.Pointer[certificates]
}

type certificates struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// LoadTLS loads the certificates from files.
func LoadTLS(certFile, keyFile, caFile string) (t *TLSConfig, err error) {
	t = &TLSConfig{certFile: certFile, keyFile: keyFile, caFile: caFile}
	return t, t.Reload()
}

// Reload loads the files again. If that fails, the previous certificates stay in use.
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
	t.current.Store(&certificates{cert, pool})
	return nil
}

// ServerConfig returns the configuration of a server that requires client certificates signed
// by the authority.
func (t *TLSConfig) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		NextProtos:     []string{"h2"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &t.current.Load().cert, nil },
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := t.current.Load()
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

// clientConfig returns the configuration of a client. The chain is checked against the current
// authority at each connection, so that a reload takes effect. Host names are not checked,
// because entry VMs are addressed by IP address.
func (t *TLSConfig) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection checks the chain against the reloadable authority
		VerifyConnection: func(s tls.ConnectionState) error {
			opts := x509.VerifyOptions{Roots: t.current.Load().pool, Intermediates: x509.NewCertPool()}
			for _, c := range s.PeerCertificates[1:] {
				opts.Intermediates.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(opts)
			return err
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &t.current.Load().cert, nil
		},
	}
}
