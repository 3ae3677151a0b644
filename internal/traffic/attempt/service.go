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
func (s *Service) Run(t Task, reply *Piece) error {
	if r := s.table.Begin(t); r != nil {
		*reply = Piece{ID: t.ID, Refusal: r, Room: s.table.Room(time.Now())}
		return nil
	}
	*reply = s.table.Next(Place{ID: t.ID, Incarnation: t.Incarnation})
	return nil
}

// Read returns the segment at p.
func (s *Service) Read(p Place, reply *Piece) error {
	*reply = s.table.Next(p)
	return nil
}

// Ask returns the state of an attempt; see Table.Ask.
func (s *Service) Ask(q Question, reply *Word) error {
	*reply = s.table.Ask(q)
	return nil
}

// Cancel cancels an attempt.
func (s *Service) Cancel(p Place, _ *Empty) error {
	s.table.Cancel(p.ID)
	return nil
}
