package ledger

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// Size limits of the head in bytes. The platform accepts objects up to 1 MiB.
const (
	// HeadBudget is the largest head that a change may produce.
	HeadBudget = 768 << 10
	// MaxHeadSize is the largest head that Decode accepts.
	MaxHeadSize = 1 << 20
)

// Encode returns the canonical encoding of a head.
func Encode(head *Head) []byte {
	encoded, err := json.Marshal(head)
	if err != nil {
		panic(errors.Annotate(err, "encoding a head"))
	}
	return encoded
}

// Upper bounds of the encoded size of parts of the head, in bytes.
const (
	// headBaseSize covers the head's own fields.
	headBaseSize = 512
	// entrySize covers the fields of a file, operation, keeper set or member
	// besides its texts.
	entrySize = 640
	// textOverhead covers the quotes and comma of one text.
	textOverhead = 3
	// maxEscapedSize is the largest number of bytes that JSON uses for one byte.
	maxEscapedSize = 6
)

// boundOrSize returns an upper bound of the encoded size of a head if that bound
// is within the budget, and otherwise the exact size, which is far more
// expensive to compute.
func boundOrSize(head *Head, budget int) int {
	bound := headBaseSize
	for _, entry := range head.Files {
		bound += entrySize + len(entry.Partner) + len(entry.Name)
		if entry.Held != nil {
			bound += textsSize(entry.Held.WaitsFor)
		}
	}
	for _, operation := range head.Operations {
		bound += entrySize + len(operation.ID) + textsSize(operation.WaitsFor) + textsSize(operation.Promoted)
	}
	for _, set := range head.Keepers {
		bound += keeperSetSize(&set)
	}
	if bound <= budget {
		return bound
	}
	return len(Encode(head))
}

func textsSize(texts []string) int {
	size := 0
	for _, text := range texts {
		size += textOverhead + maxEscapedSize*len(text)
	}
	return size
}

func keeperSetSize(set *protocol.KeeperSet) int {
	if set == nil {
		return 0
	}
	size := entrySize + maxEscapedSize*len(set.Region)
	for _, member := range set.Members {
		size += entrySize + maxEscapedSize*(len(member.ID)+len(member.ControlAddress))
	}
	return size + keeperSetSize(set.Previous)
}

// Decode decodes and checks a head. It returns UnknownFormat for a format or
// field that this build does not know, and DigestMismatch for an inconsistent
// head.
func Decode(data []byte) (*Head, error) {
	if len(data) > MaxHeadSize {
		return nil, result.New(result.HeadTooLarge, "the head has %d bytes; at most %d are read", len(data), MaxHeadSize)
	}
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return nil, result.New(result.UnknownFormat, "the head is not JSON")
	}
	if header.Format != Format {
		return nil, result.New(result.UnknownFormat, "head format %d; this build knows %d", header.Format, Format)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	head := &Head{}
	if err := decoder.Decode(head); err != nil {
		return nil, result.New(result.UnknownFormat, "the head has a part that this build does not know")
	}
	if err := head.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return head, nil
}

// validate verifies the order of the head's lists and the consistency of its
// revisions and versions.
func (h *Head) validate() error {
	for i, entry := range h.Files {
		if i > 0 && h.Files[i-1].Key().Compare(entry.Key()) >= 0 {
			return newInconsistencyError("files are not sorted")
		}
		if err := h.validateEntry(entry); err != nil {
			return errors.Trace(err)
		}
	}
	for _, operation := range h.Operations {
		if _, err := OperationTime(operation.ID); err != nil {
			return newInconsistencyError("an operation id is malformed")
		}
	}
	for i, set := range h.Keepers {
		if i > 0 && h.Keepers[i-1].Region >= set.Region {
			return newInconsistencyError("keeper sets are not sorted")
		}
		if set.Revision > h.Version {
			return newInconsistencyError("a keeper set is newer than the head")
		}
	}
	return nil
}

func (h *Head) validateEntry(entry FileEntry) error {
	if entry.Accepted == nil && entry.Held == nil {
		return newInconsistencyError("a file is neither accepted nor held")
	}
	if entry.Revision() > h.LastRevision {
		return newInconsistencyError("a file's revision was never given out")
	}
	digests := []resource.Digest{}
	if entry.Accepted != nil {
		digests = append(digests, entry.Accepted.Digest)
		if entry.Accepted.Version > h.Version {
			return newInconsistencyError("a file's version is newer than the head")
		}
	}
	if entry.Held != nil {
		digests = append(digests, entry.Held.Digest)
	}
	for _, digest := range digests {
		if !digest.Valid() {
			return newInconsistencyError("a digest is malformed")
		}
	}
	return nil
}

func newInconsistencyError(detail string) error {
	return result.New(result.DigestMismatch, "the head is inconsistent: %s", detail)
}
