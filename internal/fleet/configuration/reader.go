package configuration

import (
	"context"
	"errors"

	"fulmardeal"
)

// Stream is the name of the log stream that holds the configuration.
const Stream = "configuration"

// pageSize is the maximum number of records per read of the log.
const pageSize = 500

// ReadLog brings a store up to the end of the log's stream. When the log has
// trimmed records that the store needs, it starts from the newest snapshot.
func ReadLog(ctx context.Context, l fulmardeal.Log, s *Store) error {
	for {
		records, err := l.Read(ctx, Stream, s.Version()+1, pageSize)
		var trimmed *fulmardeal.TrimmedError
		if errors.As(err, &trimmed) {
			return readSnapshot(ctx, l, s, trimmed.First)
		}
		if err != nil {
			return err
		}
		if len(records) == 0 {
			return nil
		}
		s.Apply(Update{Records: records})
	}
}

// readSnapshot reads all records that the log retains, from first on, and
// applies them starting from the newest snapshot. It fails when they contain no
// snapshot that is usable and newer than the store.
func readSnapshot(ctx context.Context, l fulmardeal.Log, s *Store, first fulmardeal.Offset) error {
	var all []fulmardeal.Record
	for from := first; ; {
		records, err := l.Read(ctx, Stream, from, pageSize)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			break
		}
		all = append(all, records...)
		from = records[len(records)-1].Offset + 1
	}

	before := s.Version()
	s.Apply(InitialUpdate(all))
	if s.Version() == before {
		return &fulmardeal.TrimmedError{Stream: Stream, First: first}
	}
	return nil
}
