// Package keys makes the certificates of mutual TLS between the processes of a
// fleet, and the digests under which the keys of client accounts are kept.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Names of the authority's files within its folder.
const (
	AuthorityCertificate = "authority.crt"
	AuthorityKey         = "authority.key"
)

// How long certificates are valid. They start earlier than they are made, for
// instances whose clock is behind.
const (
	authorityLife   = 10 * 365 * 24 * time.Hour
	certificateLife = 2 * 365 * 24 * time.Hour
	clockSkew       = time.Hour
)

const (
	keyBytes    = 32 // random bytes of an account key
	serialBits  = 120
	blockKey    = "PRIVATE KEY"
	blockX509   = "CERTIFICATE"
	keyMode     = 0o600
	publicMode  = 0o644
	folderMode  = 0o700
	commonName  = "jacinthplank fleet authority"
	accountMark = "jp-"
)

// Files names the files of one certificate.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// AccountKey returns a new random key for a client account.
func AccountKey() string {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // never fails: see crypto/rand
	return accountMark + hex.EncodeToString(secret)
}

// Digest returns the SHA-256 of an account key, in hexadecimal, which is all
// that a configuration keeps of it.
func Digest(accountKey string) string {
	sum := sha256.Sum256([]byte(accountKey))
	return hex.EncodeToString(sum[:])
}

// CreateAuthority makes the fleet's certificate authority in a folder. An
// authority that is there already is left as it is, with an AlreadyExists error.
func CreateAuthority(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := os.Stat(filepath.Join(folder, AuthorityKey)); err == nil {
		return trace.AlreadyExists("%s already holds an authority", folder)
	}
	template, err := newTemplate(commonName, authorityLife)
	if err != nil {
		return trace.Wrap(err)
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return trace.Wrap(err)
	}
	return writePair(filepath.Join(folder, AuthorityCertificate), filepath.Join(folder, AuthorityKey), certificate, key)
}

// Issue makes a certificate for the daemon called name, which listens on the
// given IP addresses, signed by the authority in the folder. The files are
// written to the same folder, in place of those of before.
func Issue(folder, name string, ips []net.IP) (Files, error) {
	if name == "" || strings.ContainsAny(name, `/\`) {
		return Files{}, trace.BadParameter("%q is no name of a daemon", name)
	}
	authority, authorityKey, err := readAuthority(folder)
	if err != nil {
		return Files{}, trace.Wrap(err)
	}
	template, err := newTemplate(name, certificateLife)
	if err != nil {
		return Files{}, trace.Wrap(err)
	}
	template.DNSNames = []string{name}
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, trace.Wrap(err)
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, authority, key.Public(), authorityKey)
	if err != nil {
		return Files{}, trace.Wrap(err)
	}
	files := Files{
		Certificate: filepath.Join(folder, name+".crt"),
		Key:         filepath.Join(folder, name+".key"),
		Authority:   filepath.Join(folder, AuthorityCertificate),
	}
	return files, writePair(files.Certificate, files.Key, certificate, key)
}

func newTemplate(name string, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(life),
	}, nil
}

func readAuthority(folder string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificate, err := readBlock(filepath.Join(folder, AuthorityCertificate), blockX509)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	authority, err := x509.ParseCertificate(certificate)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	secret, err := readBlock(filepath.Join(folder, AuthorityKey), blockKey)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	key, err := x509.ParsePKCS8PrivateKey(secret)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	ecdsaKey, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, trace.BadParameter("the authority's key is no ECDSA key")
	}
	return authority, ecdsaKey, nil
}

func readBlock(file, kind string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != kind {
		return nil, trace.BadParameter("%s holds no %s in PEM", file, strings.ToLower(kind))
	}
	return block.Bytes, nil
}

func writePair(certificateFile, keyFile string, certificate []byte, key *ecdsa.PrivateKey) error {
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := writeBlock(keyFile, blockKey, secret, keyMode); err != nil {
		return trace.Wrap(err)
	}
	return writeBlock(certificateFile, blockX509, certificate, publicMode)
}

// writeBlock replaces a file whole, so that a daemon that reloads it never
// reads a part.
func writeBlock(file, kind string, content []byte, mode os.FileMode) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	if err := os.WriteFile(file+".new", text, mode); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.Rename(file+".new", file))
}
