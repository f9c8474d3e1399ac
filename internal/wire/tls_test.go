package wire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bilberryhub/internal/settings"
)

// authority is a CA that issues certificates for tests.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue returns the settings of a process with a certificate of this CA that
// trusts the CA of other.
func (a *authority) issue(name string, other *authority) *settings.TLS {
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return &settings.TLS{
		CertFile: a.write(name+".pem", "CERTIFICATE", der),
		KeyFile:  a.write(name+".key", "EC PRIVATE KEY", keyDER),
		CAFile:   filepath.Join(other.dir, "ca.pem"),
	}
}

// TestTLSNeedsACertificateOfTheCA guards against sessions with processes that have
// no certificate of the CA.
func TestTLSNeedsACertificateOfTheCA(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	config := func(s *settings.TLS) Options {
		o := options(KindEntry, "e1")
		c, err := s.Config()
		if err != nil {
			t.Fatal(err)
		}
		o.TLS = c
		return o
	}
	server := serve(t, config(ours.issue("server", ours)), echo)
	for _, tc := range []struct {
		name string
		opts Options
		ok   bool
	}{
		{"same CA", config(ours.issue("client", ours)), true},
		{"certificate of another CA", config(foreign.issue("client", ours)), false},
		{"does not trust the server", config(ours.issue("client2", foreign)), false},
		{"plain TCP", options(KindEntry, "e1"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := NewClient(server.Address(), tc.opts)
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if _, err := client.Call(ctx, dumpCall()); (err == nil) != tc.ok {
				t.Fatalf("got %v", err)
			}
		})
	}
}
