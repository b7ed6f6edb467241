// Package keys issues the certificates for mutual TLS between the processes of a
// fleet, and creates the keys of client accounts and their digests.
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

// File names of the certificate authority within its folder.
const (
	AuthorityCertificate = "authority.crt"
	AuthorityKey         = "authority.key"
)

// Validity of certificates. It starts clockSkew before the time of issue, for
// instances whose clock is behind.
const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 2 * 365 * 24 * time.Hour
	clockSkew           = time.Hour
)

const (
	accountKeyBytes     = 32 // random bytes in an account key
	serialBits          = 120
	pemTypeKey          = "PRIVATE KEY"
	pemTypeCertificate  = "CERTIFICATE"
	keyFileMode         = 0o600
	certificateFileMode = 0o644
	folderMode          = 0o700
	authorityCommonName = "jacinthplank fleet authority"
	accountKeyPrefix    = "jp-"
)

// Files holds the paths of one certificate, its key and its authority.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// AccountKey returns a new random key for a client account.
func AccountKey() string {
	secret := make([]byte, accountKeyBytes)
	_, _ = rand.Read(secret) // crypto/rand.Read never returns an error
	return accountKeyPrefix + hex.EncodeToString(secret)
}

// Digest returns the SHA-256 digest of an account key in hexadecimal.
// Configurations store only this digest.
func Digest(accountKey string) string {
	sum := sha256.Sum256([]byte(accountKey))
	return hex.EncodeToString(sum[:])
}

// CreateAuthority creates the fleet's certificate authority in folder. It never
// replaces an existing authority and returns an AlreadyExists error instead.
func CreateAuthority(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := os.Stat(filepath.Join(folder, AuthorityKey)); err == nil {
		return trace.AlreadyExists("%s already contains a certificate authority", folder)
	}
	template, err := newTemplate(authorityCommonName, authorityValidity)
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
	return writeKeyPair(filepath.Join(folder, AuthorityCertificate), filepath.Join(folder, AuthorityKey), certificate, key)
}

// Issue creates a certificate for the daemon name, which listens on the given IP
// addresses, signed by the authority in folder. The files are written to the same
// folder and replace existing ones.
func Issue(folder, name string, ips []net.IP) (Files, error) {
	if name == "" || strings.ContainsAny(name, `/\`) {
		return Files{}, trace.BadParameter("%q is not a valid daemon name: it is empty or contains a slash or backslash", name)
	}
	authority, authorityKey, err := readAuthority(folder)
	if err != nil {
		return Files{}, trace.Wrap(err)
	}
	template, err := newTemplate(name, certificateValidity)
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
	return files, writeKeyPair(files.Certificate, files.Key, certificate, key)
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func readAuthority(folder string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificateDER, err := readPEM(filepath.Join(folder, AuthorityCertificate), pemTypeCertificate)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	authority, err := x509.ParseCertificate(certificateDER)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	keyDER, err := readPEM(filepath.Join(folder, AuthorityKey), pemTypeKey)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	key, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	ecdsaKey, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, trace.BadParameter("the certificate authority's key is not an ECDSA key")
	}
	return authority, ecdsaKey, nil
}

func readPEM(file, blockType string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != blockType {
		return nil, trace.BadParameter("%s contains no %s in PEM format", file, strings.ToLower(blockType))
	}
	return block.Bytes, nil
}

func writeKeyPair(certificateFile, keyFile string, certificate []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := writePEM(keyFile, pemTypeKey, keyDER, keyFileMode); err != nil {
		return trace.Wrap(err)
	}
	return writePEM(certificateFile, pemTypeCertificate, certificate, certificateFileMode)
}

// writePEM replaces a file atomically, so that a daemon that reloads it never
// reads a partial file.
func writePEM(file, blockType string, content []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: content})
	if err := os.WriteFile(file+".new", data, mode); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.Rename(file+".new", file))
}
