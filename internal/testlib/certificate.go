package testlib

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/pkg/config"
)

// WriteCertificate writes a self-signed certificate for 127.0.0.1 with the given serial number, and its private key.
// The validity period also covers the fake clock of testing/synctest bubbles.
func WriteCertificate(t *testing.T, files config.TLS, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "box"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	encoded, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	writePEM(t, files.CertificateFile, "CERTIFICATE", certificate)
	writePEM(t, files.KeyFile, "EC PRIVATE KEY", encoded)
}

func writePEM(t *testing.T, path, kind string, data []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
}
