package mesh

import (
	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/evacuation"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// Procedures of calls between entries.
const (
	procedureSync     = "/jacinthplank.mesh.v1.MeshService/Sync"
	procedureDocument = "/jacinthplank.mesh.v1.MeshService/Document"
	procedurePut      = "/jacinthplank.mesh.v1.MeshService/Put"
	procedureRead     = "/jacinthplank.mesh.v1.MeshService/Read"
	procedureEvacuate = "/jacinthplank.mesh.v1.MeshService/Evacuate"
	// procedureExpendable asks the leader whether a member's disk may be emptied.
	procedureExpendable = "/jacinthplank.mesh.v1.MeshService/Expendable"
	// procedureEndpoints returns all endpoints that an entry knows.
	procedureEndpoints = "/jacinthplank.mesh.v1.MeshService/Endpoints"
)

// facts is the state that an entry reports with each sync.
type facts struct {
	Name        string              `json:"name"`
	Address     string              `json:"address"`
	Incarnation uint64              `json:"incarnation"`
	Disk        quorum.DiskIdentity `json:"disk,omitempty"`
	Document    uint64              `json:"document"` // number of the document in force; 0 for none
	// Recovered is the highest number of a document that the entry found in its log, until a
	// quorum has told it which is the newest. That document may be committed.
	Recovered   uint64          `json:"recovered,omitempty"`
	Founders    []quorum.Member `json:"founders,omitempty"`
	Voters      []quorum.Member `json:"voters,omitempty"`
	Leader      string          `json:"leader,omitempty"` // address of the leader that the entry's member hears
	LeaderTerm  uint64          `json:"leader_term,omitempty"`
	Ready       bool            `json:"ready"`
	Endpoints   uint64          `json:"endpoints"` // digest of the endpoints known
	Evacuations evacuation.Set  `json:"evacuations,omitzero"`
	CaughtUp    bool            `json:"caught_up"` // knows the endpoints that the fleet knew when it started, or those on its disk
}

// announcement is an endpoint and the age of its last announcement.
type announcement struct {
	announce.Endpoint
	AgeMs int64 `json:"age_ms"`
}

type syncRequest struct {
	From          facts            `json:"from"`
	Announcements announcementList `json:"announcements,omitempty"`
}

type syncResponse struct {
	From facts `json:"from"`
}

type endpointsRequest struct{}

type endpointsResponse struct {
	Announcements announcementList `json:"announcements"`
}

// documentRequest asks for a document newer than the one that the sender has.
type documentRequest struct {
	Have    uint64 `json:"have"`
	Address string `json:"address"`          // of the sender, to which others may be referred
	Insist  bool   `json:"insist,omitempty"` // don't refer the sender to another entry
}

// documentResponse holds the newest document, encoded by package delta, or addresses of
// entries that have it. It holds neither if the document isn't newer.
type documentResponse struct {
	Number    uint64   `json:"number"`
	Base      uint64   `json:"base,omitempty"` // number of the document that the encoding builds on; 0 for none
	Encoded   []byte   `json:"encoded,omitempty"`
	Elsewhere []string `json:"elsewhere,omitempty"`
}

// putRequest carries a document encoded by package delta without a base.
type putRequest struct {
	Number  uint64 `json:"number"`
	Encoded []byte `json:"encoded"`
}

// leadership is the part of a member's response that tells whether it leads. Earlier versions
// tell only the address to try instead.
type leadership struct {
	Term   uint64 `json:"term,omitempty"`   // in which the member leads
	Denied bool   `json:"denied,omitempty"` // the member doesn't lead
	Denial
}

// proposalResponse is a member's response to a proposal whose command has answer A.
type proposalResponse[A any] struct {
	Answer  *A     `json:"answer,omitempty"`
	Unknown bool   `json:"unknown,omitempty"`
	Failure string `json:"failure,omitempty"`
	leadership
}

type putResponse = proposalResponse[document.Answer]

type evacuateRequest struct {
	Command evacuation.Command `json:"command"`
}

type evacuateResponse = proposalResponse[evacuation.Answer]

type readRequest struct{}

// readResponse holds the number of the newest document and the evacuated domains. The
// document's body is fetched apart, from any entry that has it.
type readResponse struct {
	Number      uint64         `json:"number"`
	Evacuations evacuation.Set `json:"evacuations,omitzero"`
	Read        bool           `json:"read"` // a majority has confirmed them
	Failure     string         `json:"failure,omitempty"`
	leadership
}

// expendableRequest asks whether the committed entries are held without the disk of a
// member, which has stopped.
type expendableRequest struct {
	Member string `json:"member"` // name
}

type expendableResponse struct {
	Expendable bool   `json:"expendable"`
	Failure    string `json:"failure,omitempty"`
	leadership
}
