package hosted

import (
	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/compression"
	"github.com/springstack/springstack/internal/core/protocol"
)

// packDocument compresses a document for sending it to peers.
func packDocument(document authority.Document) protocol.DocumentReply {
	return protocol.DocumentReply{
		Version:    document.Version,
		Compressed: compression.Append(nil, document.Body),
		Bytes:      len(document.Body),
	}
}

// unpackDocument decompresses a document received from a peer. It fails if the document is longer
// than limit bytes.
func unpackDocument(reply protocol.DocumentReply, limit int) (authority.Document, error) {
	body, err := compression.Unpack(reply.Compressed, limit)
	if err != nil {
		return authority.Document{}, err
	}
	return authority.Document{Version: reply.Version, Body: body}, nil
}
