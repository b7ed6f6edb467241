package mesh

import (
	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// Procedures of calls between entries.
const (
	procedureSync     = "/jacinthplank.mesh.v1.MeshService/Sync"
	procedureDocument = "/jacinthplank.mesh.v1.MeshService/Document"
	procedurePut      = "/jacinthplank.mesh.v1.MeshService/Put"
	procedureRead     = "/jacinthplank.mesh.v1.MeshService/Read"
)

// facts is the state that an entry reports with each sync.
type facts struct {
	Name        string              `json:"name"`
	Address     string              `json:"address"`
	Incarnation uint64              `json:"incarnation"`
	Disk        quorum.DiskIdentity `json:"disk,omitempty"`
	Document    uint64              `json:"document"` // number of the document in force; 0 for none
	Founders    []quorum.Member     `json:"founders,omitempty"`
	Voters      []quorum.Member     `json:"voters,omitempty"`
	Leader      string              `json:"leader,omitempty"` // address
	Ready       bool                `json:"ready"`
}

// announcement is an endpoint and the age of its last announcement.
type announcement struct {
	announce.Endpoint
	AgeMs int64 `json:"age_ms"`
}

type syncRequest struct {
	From          facts          `json:"from"`
	Announcements []announcement `json:"announcements,omitempty"`
}

type syncResponse struct {
	From facts `json:"from"`
}

type documentRequest struct {
	Have uint64 `json:"have"`
}

type documentResponse struct {
	Document document.Document `json:"document"`
}

type putRequest struct {
	Document document.Document `json:"document"`
}

type putResponse struct {
	Answer  *document.Answer `json:"answer,omitempty"`
	Leader  string           `json:"leader,omitempty"` // address to try instead
	Unknown bool             `json:"unknown,omitempty"`
	Failure string           `json:"failure,omitempty"`
}

type readRequest struct {
	Have uint64 `json:"have"`
}

type readResponse struct {
	Document *document.Document `json:"document,omitempty"` // without a body if its number equals Have
	Leader   string             `json:"leader,omitempty"`
	Failure  string             `json:"failure,omitempty"`
}
