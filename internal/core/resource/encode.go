package resource

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/result"
)

// Format is the revision of the canonical encoding of files and resources.
// Encodings of any other revision are refused.
const Format = 1

// secretWire is the only type that encodes the text of a secret.
type secretWire struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// fileWire is the canonical encoding of a file; lists are sorted by name.
type fileWire struct {
	Format       int          `json:"format"`
	Partner      Partner      `json:"partner"`
	Name         string       `json:"name"`
	Distribution Distribution `json:"distribution"`
	Services     []Service    `json:"services,omitempty"`
	Backends     []Backend    `json:"backends,omitempty"`
	Secrets      []secretWire `json:"secrets,omitempty"`
	Routes       []Route      `json:"routes,omitempty"`
}

// EncodeFile returns the canonical text of a file: one JSON object whose lists
// are sorted by name, so that equivalent files have the same encoding. The text
// contains the values of secrets.
func EncodeFile(file *File) []byte {
	wire := fileWire{
		Format:       Format,
		Partner:      file.Partner,
		Name:         file.Name,
		Distribution: file.Distribution,
		Services:     sortedByKey(file.Services),
		Backends:     sortedByKey(file.Backends),
		Secrets:      lo.Map(sortedByKey(file.Secrets), func(secret Secret, _ int) secretWire { return secret.wire() }),
		Routes:       sortedByKey(file.Routes),
	}
	return mustMarshal(wire)
}

// DecodeFile decodes the output of EncodeFile. It refuses unknown formats
// (UnknownFormat) and texts that are not canonical (DigestMismatch).
func DecodeFile(text []byte) (*File, error) {
	if err := checkFormat(text); err != nil {
		return nil, err
	}
	var wire fileWire
	if err := unmarshalStrict(text, &wire); err != nil {
		return nil, errors.Trace(err)
	}
	file := wire.file()
	if !bytes.Equal(EncodeFile(file), text) {
		return nil, result.New(result.DigestMismatch, "the text of file %s is not canonical", file.Key())
	}
	return file, nil
}

// FileDigest returns the digest of a file's canonical text. It covers the whole
// file including secrets, and is shown to the file's own partner only.
func FileDigest(file *File) Digest {
	return DigestOf(EncodeFile(file))
}

// DigestOf returns the lower-case hexadecimal SHA-256 of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Valid reports whether the digest has the length and the digits of a SHA-256 in
// lower-case hexadecimal.
func (d Digest) Valid() bool {
	if len(d) != hex.EncodedLen(sha256.Size) {
		return false
	}
	return !strings.ContainsFunc(string(d), func(r rune) bool {
		return (r < '0' || r > '9') && (r < 'a' || r > 'f')
	})
}

// Encode returns the canonical encodings of all resources of a file, sorted by
// key. The payloads omit the partner, which is part of the key.
func Encode(file *File) []Encoded {
	encoded := make([]Encoded, 0, len(file.Services)+len(file.Backends)+len(file.Secrets)+len(file.Routes))
	for _, service := range file.Services {
		encoded = append(encoded, encodeResource(service.Key(), service))
	}
	for _, backend := range file.Backends {
		encoded = append(encoded, encodeResource(backend.Key(), backend))
	}
	for _, secret := range file.Secrets {
		encoded = append(encoded, encodeResource(secret.Key(), secret.wire()))
	}
	for _, route := range file.Routes {
		encoded = append(encoded, encodeResource(route.Key(), route))
	}
	SortEncoded(encoded)
	return encoded
}

// SortEncoded sorts resources by key. Resources that are sorted already, the usual
// case, take linear time.
func SortEncoded(encoded []Encoded) {
	byKey := func(a, b Encoded) int { return a.Key.Compare(b.Key) }
	if slices.IsSortedFunc(encoded, byKey) {
		return
	}
	slices.SortFunc(encoded, byKey)
}

// Decode decodes one resource: a Service, Backend, Secret or Route. It refuses a
// payload that does not match its digest or key or is not canonical
// (DigestMismatch).
func Decode(encoded Encoded) (Resource, error) {
	if DigestOf(encoded.Payload) != encoded.Digest {
		return nil, result.New(result.DigestMismatch, "the payload of %s does not have its digest", encoded.Key)
	}
	decoded, err := decodeKind(encoded)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if decoded.Key() != encoded.Key {
		return nil, result.New(result.DigestMismatch, "the payload of %s holds %s", encoded.Key, decoded.Key())
	}
	return decoded, nil
}

func decodeKind(encoded Encoded) (Resource, error) {
	partner := encoded.Key.Partner
	switch encoded.Key.Kind {
	case KindService:
		service, err := decodeCanonical[Service](encoded)
		service.Partner = partner
		return service, err
	case KindBackend:
		backend, err := decodeCanonical[Backend](encoded)
		backend.Partner = partner
		return backend, err
	case KindSecret:
		wire, err := decodeCanonical[secretWire](encoded)
		return Secret{Partner: partner, Name: wire.Name, Value: SecretValue(wire.Value)}, err
	case KindRoute:
		route, err := decodeCanonical[Route](encoded)
		route.Partner = partner
		return route, err
	default:
		return nil, result.New(result.UnknownFormat, "resource %s has a kind that this build does not know", encoded.Key)
	}
}

// decodeCanonical decodes a payload and requires that encoding the result gives the
// same bytes, so that no field is dropped and no other encoding is accepted.
func decodeCanonical[T any](encoded Encoded) (T, error) {
	var value T
	if err := unmarshalStrict(encoded.Payload, &value); err != nil {
		return value, errors.Annotatef(err, "resource %s", encoded.Key)
	}
	if !bytes.Equal(mustMarshal(value), encoded.Payload) {
		return value, result.New(result.DigestMismatch, "the payload of %s is not canonical", encoded.Key)
	}
	return value, nil
}

// encodeResource encodes a resource, or its wire form, under its key.
func encodeResource(key Key, value any) Encoded {
	payload := mustMarshal(value)
	return Encoded{Key: key, Digest: DigestOf(payload), Payload: payload}
}

func (s Secret) wire() secretWire {
	return secretWire{Name: s.Name, Value: s.Value.Reveal()}
}

func (w fileWire) file() *File {
	file := &File{
		Partner:      w.Partner,
		Name:         w.Name,
		Distribution: w.Distribution,
		Services:     w.Services,
		Backends:     w.Backends,
		Routes:       w.Routes,
	}
	for i := range file.Services {
		file.Services[i].Partner = w.Partner
	}
	for i := range file.Backends {
		file.Backends[i].Partner = w.Partner
	}
	for _, secret := range w.Secrets {
		file.Secrets = append(file.Secrets, Secret{Partner: w.Partner, Name: secret.Name, Value: SecretValue(secret.Value)})
	}
	for i := range file.Routes {
		file.Routes[i].Partner = w.Partner
	}
	return file
}

func sortedByKey[T Resource](list []T) []T {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b T) int { return a.Key().Compare(b.Key()) })
	return sorted
}

func checkFormat(text []byte) error {
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(text, &header); err != nil {
		return result.New(result.UnknownFormat, "the text is not JSON")
	}
	if header.Format != Format {
		return result.New(result.UnknownFormat, "format %d; this build knows %d", header.Format, Format)
	}
	return nil
}

func unmarshalStrict(text []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return result.New(result.UnknownFormat, "the encoding has a part that this build does not know")
	}
	return nil
}

// mustMarshal encodes the package's own types, for which encoding can't fail.
// The escaping of HTML characters by encoding/json is part of the canonical form.
func mustMarshal(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(errors.Annotate(err, "encoding a resource"))
	}
	return encoded
}
