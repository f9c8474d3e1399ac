package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// Config returns the TLS configuration for clients and servers, or nil if t is nil. Both
// sides must present a certificate that is signed by the CA. Host names are not
// verified, because processes are addressed by IP addresses, which change when a VM is
// replaced. It returns an error if one of the files cannot be read or contains no
// certificate.
func (t *TLS) Config() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, errors.Annotatef(err, "load key pair %s, %s", t.CertFile, t.KeyFile)
	}
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, errors.Annotate(err, "read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("no certificate in %s", t.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
		// InsecureSkipVerify disables the verification of the host name and of the
		// chain. VerifyConnection verifies the chain.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			return verifyChain(cs, pool)
		},
	}, nil
}

// verifyChain verifies that the certificate of the peer is signed by one of the roots,
// if necessary through the intermediate certificates that the peer presents.
func verifyChain(cs tls.ConnectionState, roots *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	opts := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return errors.Annotate(err, "verify peer certificate")
}
