package cfvhttp

import (
	"crypto/tls"
	"fmt"
	"sync/atomic"
)

// Certificate is a server's TLS certificate that can be reloaded while it is in use.
type Certificate struct {
	certFile, keyFile string
	loaded            atomic.Pointer[tls.Certificate]
}

// LoadCertificate loads the certificate and its key from files.
func LoadCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	return c, c.Reload()
}

// Reload reads the files again. After an error, the previous certificate stays in use.
func (c *Certificate) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", c.certFile, err)
	}
	c.loaded.Store(&pair)
	return nil
}

// TLSConfig returns the configuration of a server that presents the certificate.
func (c *Certificate) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.loaded.Load(), nil },
	}
}
