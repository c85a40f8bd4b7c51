package history

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/merlindock/merlindock/internal/pause"
)

// ReceiptService is a plain service with non-idempotent calls. It issues a
// numbered receipt for each call that it gets, including repeated ones.
type ReceiptService struct {
	rec *Recorder

	mu            sync.Mutex
	issued        int
	answersToLose int
	workTime      time.Duration
}

var errAnswerLost = errors.New("history: connection lost after the call was sent")

// NewReceiptService returns a service that spends workTime before and after
// issuing a receipt.
func NewReceiptService(rec *Recorder, workTime time.Duration) *ReceiptService {
	return &ReceiptService{rec: rec, workTime: workTime}
}

// LoseAnswers makes the service run the next n calls without answering them.
func (s *ReceiptService) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// SetWorkTime sets the time that the service spends before and after issuing a
// receipt.
func (s *ReceiptService) SetWorkTime(workTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workTime = workTime
}

func (s *ReceiptService) currentWorkTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workTime
}

// Issued returns the number of receipts issued.
func (s *ReceiptService) Issued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.issued
}

// Run issues a receipt and returns it. An error means that the caller gets no
// answer, although the receipt may have been issued.
func (s *ReceiptService) Run(ctx context.Context, call int, key string) (string, error) {
	start := s.rec.Now()
	if err := pause.For(ctx, s.currentWorkTime()); err != nil {
		return "", err
	}
	receipt, lost := s.issue()
	s.rec.Add(0, start, keyedEvent{kind: runEvent, key: key, call: call}, callOutput{result: receipt})
	if lost {
		return "", errAnswerLost
	}
	return receipt, pause.For(ctx, s.currentWorkTime())
}

func (s *ReceiptService) issue() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.issued++
	lost := s.answersToLose > 0
	if lost {
		s.answersToLose--
	}
	return fmt.Sprintf("receipt-%d", s.issued), lost
}
