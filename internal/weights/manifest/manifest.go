// Package manifest defines the manifest of one version of a model's weights: its
// total size, its chunk size and the SHA-256 digests of its chunks.
//
// A manifest is trusted if its SHA-256 is the digest given by the configuration,
// and a chunk is trusted if it matches a trusted manifest. The package builds,
// parses and verifies manifests; it does no I/O of its own.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"fulmardeal"
	"fulmardeal/internal/fleet/label"
)

// Limits on the contents of a manifest. The texts in invalidReason state them too.
const (
	MaxChunkSize = 16 << 20 // size of a chunk, in bytes
	maxChunks    = 1 << 20  // number of chunks
	maxSize      = 1 << 40  // size of the whole content, in bytes
)

// Document is the JSON form of a manifest.
type Document struct {
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Size    int64    `json:"size"`   // bytes
	Chunk   int      `json:"chunk"`  // bytes in each chunk except the last
	Digest  string   `json:"digest"` // SHA-256 of the whole content, hex; see Encode for the exception
	Chunks  []string `json:"chunks"` // SHA-256 of each chunk, hex
}

// Error reports an invalid manifest, or a chunk that does not match its manifest.
type Error struct {
	Version fulmardeal.Version
	Reason  string
}

func (e *Error) Error() string { return fmt.Sprintf("manifest of %v: %s", e.Version, e.Reason) }

// Manifest is a validated, immutable manifest.
type Manifest struct {
	doc Document
}

// Parse decodes and validates the manifest of v. The SHA-256 of data must equal
// digest.
func Parse(v fulmardeal.Version, digest string, data []byte) (*Manifest, error) {
	if got := Sum(data); got != digest {
		return nil, &Error{Version: v, Reason: fmt.Sprintf("SHA-256 is %s, want %s", got, digest)}
	}
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, &Error{Version: v, Reason: err.Error()}
	}
	if reason := d.invalidReason(v); reason != "" {
		return nil, &Error{Version: v, Reason: reason}
	}
	return &Manifest{doc: d}, nil
}

// Encode returns the encoded manifest of a version whose chunks are all of the same
// size, given in bytes. It is for origins that give no digest of the whole content.
// The Digest field instead holds the SHA-256 of the concatenated hex digests of the
// chunks.
func Encode(v fulmardeal.Version, chunk int, digests []string) ([]byte, error) {
	d := Document{Model: v.Model, Version: v.Name, Size: int64(chunk) * int64(len(digests)), Chunk: chunk, Chunks: digests}
	d.Digest = Sum([]byte(strings.Join(digests, "")))
	if reason := d.invalidReason(v); reason != "" {
		return nil, &Error{Version: v, Reason: reason}
	}
	return json.Marshal(d)
}

// invalidReason returns why the document is not a valid manifest of v, or an empty
// string.
func (d *Document) invalidReason(v fulmardeal.Version) string {
	switch {
	case d.Model != v.Model || d.Version != v.Name:
		return fmt.Sprintf("it describes %s@%s", d.Model, d.Version)
	case !label.ValidName(d.Model) || !label.ValidName(d.Version):
		return "its model or version is not a valid name"
	case d.Size <= 0 || d.Size > maxSize:
		return fmt.Sprintf("size of %d bytes is outside 1 byte to 1 TiB", d.Size)
	case d.Chunk <= 0 || d.Chunk > MaxChunkSize:
		return fmt.Sprintf("chunk size of %d bytes is outside 1 byte to 16 MiB", d.Chunk)
	case len(d.Chunks) > maxChunks:
		return fmt.Sprintf("%d chunks are more than the maximum of 1048576", len(d.Chunks))
	}

	want := int((d.Size + int64(d.Chunk) - 1) / int64(d.Chunk))
	if len(d.Chunks) != want {
		return fmt.Sprintf("got %d chunks, want %d for its total size and chunk size", len(d.Chunks), want)
	}
	for i, c := range append([]string{d.Digest}, d.Chunks...) {
		raw, err := hex.DecodeString(c)
		if err != nil || len(raw) != sha256.Size {
			return fmt.Sprintf("digest %d is not a hex-encoded SHA-256 (0 is the whole content, 1 the first chunk)", i)
		}
	}
	return ""
}

// Build splits the content of r into chunks of the given size in bytes, passes each
// chunk to store and returns the encoded manifest. Each chunk is passed in a slice of
// its own.
func Build(v fulmardeal.Version, r io.Reader, chunk int, store func(index int, data []byte) error) ([]byte, error) {
	d := Document{Model: v.Model, Version: v.Name, Chunk: chunk}
	contentHash := sha256.New()
	buf := make([]byte, chunk)
	for {
		n, err := io.ReadFull(r, buf)
		if n > 0 {
			contentHash.Write(buf[:n])
			if err := store(len(d.Chunks), append([]byte(nil), buf[:n]...)); err != nil {
				return nil, err
			}
			d.Chunks = append(d.Chunks, Sum(buf[:n]))
			d.Size += int64(n)
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	d.Digest = hex.EncodeToString(contentHash.Sum(nil))
	if reason := d.invalidReason(v); reason != "" {
		return nil, &Error{Version: v, Reason: reason}
	}
	return json.Marshal(d)
}

// Sum returns the SHA-256 of data in lower-case hex.
func Sum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Version returns the version that the manifest describes.
func (m *Manifest) Version() fulmardeal.Version {
	return fulmardeal.Version{Model: m.doc.Model, Name: m.doc.Version}
}

// Size returns the total size of the version in bytes.
func (m *Manifest) Size() int64 { return m.doc.Size }

// Digest returns the manifest's Digest field; see Document.
func (m *Manifest) Digest() string { return m.doc.Digest }

// Chunks returns the number of chunks.
func (m *Manifest) Chunks() int { return len(m.doc.Chunks) }

// ChunkDigest returns the SHA-256 of a chunk in hex.
func (m *Manifest) ChunkDigest(index int) string { return m.doc.Chunks[index] }

// ChunkSize returns the size of a chunk in bytes; only the last chunk may be
// shorter than the others.
func (m *Manifest) ChunkSize(index int) int {
	if index < len(m.doc.Chunks)-1 {
		return m.doc.Chunk
	}
	return int(m.doc.Size - int64(m.doc.Chunk)*int64(len(m.doc.Chunks)-1))
}

// Verify checks the size and the SHA-256 of a chunk's data.
func (m *Manifest) Verify(index int, data []byte) error {
	switch {
	case index < 0 || index >= len(m.doc.Chunks):
		return &Error{Version: m.Version(), Reason: fmt.Sprintf("chunk index %d out of range", index)}
	case len(data) != m.ChunkSize(index):
		return &Error{Version: m.Version(), Reason: fmt.Sprintf("chunk %d truncated or oversized: got %d bytes, want %d", index, len(data), m.ChunkSize(index))}
	case Sum(data) != m.doc.Chunks[index]:
		return &Error{Version: m.Version(), Reason: fmt.Sprintf("chunk %d does not match its SHA-256", index)}
	}
	return nil
}
