package attempt

import "time"

// Empty is a message without content.
type Empty struct{}

// Service serves a table to entries over net/rpc.
type Service struct {
	table *Table
}

// NewService returns the service of the table.
func NewService(t *Table) *Service { return &Service{table: t} }

// Run starts an attempt and returns the first piece of its answer.
func (s *Service) Run(t Task, reply *Piece) error {
	if r := s.table.Begin(t); r != nil {
		*reply = Piece{ID: t.ID, Refusal: r, Room: s.table.Room(time.Now())}
		return nil
	}
	*reply = s.table.Next(Place{ID: t.ID, Incarnation: t.Incarnation})
	return nil
}

// Read returns a further piece.
func (s *Service) Read(p Place, reply *Piece) error {
	*reply = s.table.Next(p)
	return nil
}

// Ask says what became of an attempt.
func (s *Service) Ask(q Question, reply *Word) error {
	*reply = s.table.Ask(q)
	return nil
}

// Cancel gives an attempt up.
func (s *Service) Cancel(p Place, _ *Empty) error {
	s.table.Cancel(p.ID)
	return nil
}
