package attempt

import "time"

// Empty is a reply without content.
type Empty struct{}

// Service exposes a Table to entries over net/rpc.
type Service struct {
	table *Table
}

func NewService(t *Table) *Service { return &Service{table: t} }

// Run starts an attempt and returns the first segment of its response.
func (s *Service) Run(t Task, reply *Segment) error {
	if r := s.table.Start(t); r != nil {
		*reply = Segment{ID: t.ID, Refusal: r, Room: s.table.Capacity(time.Now())}
		return nil
	}
	*reply = s.table.Read(Cursor{ID: t.ID, Incarnation: t.Incarnation})
	return nil
}

// Read returns a segment of a response; see Table.Read.
func (s *Service) Read(c Cursor, reply *Segment) error {
	*reply = s.table.Read(c)
	return nil
}

// Ask returns the state of an attempt; see Table.QueryState.
func (s *Service) Ask(q StateQuery, reply *StateReply) error {
	*reply = s.table.QueryState(q)
	return nil
}

// Cancel cancels an attempt.
func (s *Service) Cancel(c Cursor, _ *Empty) error {
	s.table.Cancel(c.ID)
	return nil
}
