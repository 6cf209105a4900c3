package cfvnode

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
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/io/cfvpeer"

	"gotest.tools/v3/assert"
)

// authority is a certificate authority for the nodes of a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a node's certificate, its key and the CA certificate to a directory.
func (a *authority) issue(t *testing.T, dir string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "entry"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := map[string][]byte{
		"cert.pem": pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		"key.pem":  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		"ca.pem":   a.pem,
	}
	for name, data := range files {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), data, 0o600))
	}
}

func withTLS(dir string) func(*Config) {
	return func(cfg *Config) {
		cfg.Certificate, cfg.Key, cfg.Authority = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")
	}
}

// probeSucceeds reports whether the first node responds to a probe of the client.
func probeSucceeds(t *testing.T, c *cluster, client *cfvpeer.Client) bool {
	_, err := client.Probe(t.Context(), c.nodes[0].cfg.PeerAddress, cfvpeer.Probe{From: cfvmember.Member{Name: "stranger"}})
	return err == nil
}

func TestPeersNeedCertificateOfAuthority(t *testing.T) {
	t.Parallel()
	dir, foreign := t.TempDir(), t.TempDir()
	a := newAuthority(t)
	a.issue(t, dir)
	newAuthority(t).issue(t, foreign)
	c := newCluster(t, clusterConfig{entries: 2, engines: 1, nodeConfig: withTLS(dir)})
	assert.Equal(t, c.chat(1, chamberKey, "hello", 2, false).status, http.StatusOK)

	load := func(dir string) *cfvpeer.TLSConfig {
		cfg, err := cfvpeer.LoadTLS(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem"))
		assert.NilError(t, err)
		return cfg
	}
	assert.Assert(t, !probeSucceeds(t, c, cfvpeer.NewClient(cfvpeer.ClientConfig{})), "a connection without TLS was accepted")
	assert.Assert(t, !probeSucceeds(t, c, cfvpeer.NewClient(cfvpeer.ClientConfig{TLS: load(foreign)})), "a certificate of another authority was accepted")
	assert.Assert(t, probeSucceeds(t, c, cfvpeer.NewClient(cfvpeer.ClientConfig{TLS: load(dir)})))

	newAuthority(t).issue(t, dir)
	for _, n := range c.nodes {
		assert.NilError(t, n.reloadCertificates())
	}
	assert.Assert(t, probeSucceeds(t, c, cfvpeer.NewClient(cfvpeer.ClientConfig{TLS: load(dir)})), "new certificates must be used without a restart")
	assert.Assert(t, !probeSucceeds(t, c, cfvpeer.NewClient(cfvpeer.ClientConfig{TLS: load(foreign)})))
	assert.Equal(t, c.chat(0, chamberKey, "hello again", 2, false).status, http.StatusOK)
}

func TestCallersAreServedOverTLS(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	a := newAuthority(t)
	a.issue(t, dir)
	c := newCluster(t, clusterConfig{entries: 1, engines: 1, domains: []string{"rosario"}, nodeConfig: func(cfg *Config) {
		cfg.CallerCertificate, cfg.CallerKey = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	}})
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	client := tlsClient(pool)
	resp, err := client.Get("https://" + c.nodes[0].Address() + "/ready")
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func tlsClient(pool *x509.CertPool) *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}}
}
