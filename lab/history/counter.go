package history

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/merlindock/merlindock/internal/pause"
)

// ReceiptService is a plain service whose calls may not be repeated: it issues a
// numbered receipt for each call that reaches it, whatever was asked before.
type ReceiptService struct {
	rec *Recorder

	mu         sync.Mutex
	issued     int
	loseAnswer int
	work       time.Duration
}

var errAnswerLost = errors.New("history: connection lost after the call was sent")

// NewReceiptService returns a service that takes the given time for each call.
func NewReceiptService(rec *Recorder, work time.Duration) *ReceiptService {
	return &ReceiptService{rec: rec, work: work}
}

// LoseAnswers makes the next n calls run and lose their answers.
func (c *ReceiptService) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseAnswer = n
}

// SetWorkTime changes how long the service takes for each half of a call.
func (c *ReceiptService) SetWorkTime(work time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work = work
}

func (c *ReceiptService) takes() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.work
}

// Issued is the number of receipts.
func (c *ReceiptService) Issued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.issued
}

// Run issues a receipt.
func (c *ReceiptService) Run(ctx context.Context, call int, key string) (string, error) {
	start := c.rec.Now()
	if err := pause.For(ctx, c.takes()); err != nil {
		return "", err
	}
	receipt, lost := c.issue()
	c.rec.Add(0, start, keyed{kind: runEvent, key: key, call: call}, callOutput{result: receipt})
	if lost {
		return "", errAnswerLost
	}
	return receipt, pause.For(ctx, c.takes())
}

func (c *ReceiptService) issue() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.issued++
	lost := c.loseAnswer > 0
	if lost {
		c.loseAnswer--
	}
	return fmt.Sprintf("receipt-%d", c.issued), lost
}
