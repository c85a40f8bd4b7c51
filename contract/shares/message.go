package shares

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/merlindock/merlindock/internal/wire"
)

// ErrMalformed reports a message that is not in the format of this release.
var ErrMalformed = errors.New("shares: message is malformed")

// Message types. A change of a layout takes a new number.
const (
	kindReport  = 0x71
	kindVerdict = 0x72
)

const (
	version           = 1
	maxMessage        = 1400
	maxReportEntries  = 48
	maxVerdictEntries = 96
	maxCount          = 1 << 32
	maxMilli          = 1e15 // thousandths of slot-seconds
	maxDuration       = time.Hour
	// fractionUnits is the resolution of the number of priorities that are admitted: 1.25
	// stands for all of priority 0 and a quarter of priority 1.
	fractionUnits = math.MaxUint16 / Priorities
	shortIDBits   = 32 // of an organisation's identifier in verdicts
	// Sizes of the entry of the rest in a report, of its count, and of entries of a verdict.
	restBytes    = Priorities*(8+1+8) + 5
	verdictBytes = 4 + 2

	flagShort  = 1
	flagCovers = 2 // of a verdict
	flagAlarm  = 2 // of a report
)

// IsMessage reports whether data is a message of this package.
func IsMessage(data []byte) bool {
	return len(data) > 0 && data[0] >= kindReport && data[0] <= kindVerdict
}

// report is what a daemon sends to the owner of a service.
type report struct {
	nonce     uint64
	sequence  uint64
	service   Service
	interval  time.Duration
	short     bool // by this daemon's own observations
	alarm     bool // it may become short
	counts    [bins]int
	answered  float64 // slot-seconds per second
	inFlight  float64 // slot-seconds
	allowed   time.Duration
	residency float64 // seconds to the first byte without waits
	meanCost  float64 // slot-seconds
	rest      int     // number of organisations that entries do not list singly
	entries   []reportEntry
}

type reportEntry struct {
	organisation Organisation
	priority     int
	offered      float64 // slot-seconds per second
}

func (m *report) encode(most int) []byte {
	b := make([]byte, 0, 256)
	b = append(b, kindReport, version)
	b = binary.LittleEndian.AppendUint64(b, m.nonce)
	b = binary.AppendUvarint(b, m.sequence)
	b = binary.LittleEndian.AppendUint64(b, uint64(m.service))
	b = binary.AppendUvarint(b, millis(m.interval))
	b = append(b, flag(m.short, flagShort)|flag(m.alarm, flagAlarm))
	for _, c := range m.counts {
		b = binary.AppendUvarint(b, min(uint64(max(c, 0)), maxCount))
	}
	b = binary.AppendUvarint(b, milli(m.answered))
	b = binary.AppendUvarint(b, milli(m.inFlight))
	b = binary.AppendUvarint(b, millis(m.allowed))
	b = binary.AppendUvarint(b, millis(time.Duration(m.residency*float64(time.Second))))
	b = binary.AppendUvarint(b, milli(m.meanCost))
	// An organisation is listed with all of its priorities or not at all.
	var entries []byte
	var rest [Priorities]float64
	listed, unlisted := 0, m.rest
	for i := 0; i < len(m.entries); {
		next := i + 1
		for next < len(m.entries) && m.entries[next].organisation == m.entries[i].organisation {
			next++
		}
		var group []byte
		for _, e := range m.entries[i:next] {
			group = appendReportEntry(group, e)
		}
		fits := listed+next-i <= maxReportEntries-Priorities && len(b)+len(entries)+len(group)+restBytes <= most
		if fits && m.entries[i].organisation != otherOrganisations {
			entries = append(entries, group...)
			listed += next - i
		} else {
			unlisted++
			for _, e := range m.entries[i:next] {
				rest[e.priority] += e.offered
			}
		}
		i = next
	}
	b = binary.AppendUvarint(b, uint64(unlisted))
	b = append(b, entries...)
	for p, x := range rest {
		if x > 0 {
			b = appendReportEntry(b, reportEntry{otherOrganisations, p, x})
		}
	}
	return b
}

func appendReportEntry(b []byte, e reportEntry) []byte {
	b = binary.LittleEndian.AppendUint64(b, uint64(e.organisation))
	b = append(b, byte(e.priority))
	return binary.AppendUvarint(b, milli(e.offered))
}

func decodeReport(data []byte) (*report, error) {
	r := &wire.Reader{Remaining: data}
	if r.Byte() != kindReport || r.Byte() != version {
		return nil, ErrMalformed
	}
	m := &report{nonce: r.Uint64(), sequence: r.Uvarint(math.MaxUint64), service: Service(r.Uint64())}
	m.interval = r.Millis(maxDuration)
	flags := r.Byte()
	m.short, m.alarm = flags&flagShort != 0, flags&flagAlarm != 0
	for i := range m.counts {
		m.counts[i] = int(r.Uvarint(maxCount))
	}
	m.answered = float64(r.Uvarint(maxMilli)) / 1000
	m.inFlight = float64(r.Uvarint(maxMilli)) / 1000
	m.allowed = r.Millis(maxDuration)
	m.residency = r.Millis(maxDuration).Seconds()
	m.meanCost = float64(r.Uvarint(maxCost*1000)) / 1000
	m.rest = int(r.Uvarint(maxCount))
	for r.More() {
		e := reportEntry{Organisation(r.Uint64()), int(r.Byte()), float64(r.Uvarint(maxMilli)) / 1000}
		if e.priority >= Priorities || len(m.entries) >= maxReportEntries {
			return nil, ErrMalformed
		}
		m.entries = append(m.entries, e)
	}
	if r.Malformed || flags > flagShort|flagAlarm {
		return nil, ErrMalformed
	}
	return m, nil
}

// verdict is what an owner sends to the daemons.
type verdict struct {
	sequence  uint64 // of the daemon's last report; 0: none
	service   Service
	short     bool
	covers    bool    // it is based on reports of at least half of the daemons
	capacity  float64 // slot-seconds per second
	wait      float64 // median
	level     float64 // slot-seconds per second for a weight of 1
	fractions map[Organisation][Priorities]float64
	// rest is the part that is admitted of the organisations that are limited but not listed;
	// 1 if there are none.
	rest float64
	// shortIDs states that fractions has only the first shortIDBits of organisations.
	shortIDs bool
}

// of returns the fractions of a listed organisation.
func (v *verdict) of(id Organisation) ([Priorities]float64, bool) {
	if v.shortIDs {
		id = shortID(id)
	}
	f, ok := v.fractions[id]
	return f, ok
}

func shortID(id Organisation) Organisation { return id >> (64 - shortIDBits) }

// admittedPriorities returns fractions as one number, since a priority is admitted in part
// only if the more urgent ones are admitted in full.
func admittedPriorities(fractions [Priorities]float64) uint16 {
	sum := 0.0
	for _, f := range fractions {
		sum += min(max(f, 0), 1)
	}
	units := math.Round(sum * fractionUnits)
	if sum > 0 {
		units = max(units, 1)
	}
	return uint16(units)
}

func fractionsOf(units uint16) (fractions [Priorities]float64) {
	left := float64(units) / fractionUnits
	for p := range fractions {
		fractions[p] = min(max(left-float64(p), 0), 1)
	}
	return fractions
}

type verdictEntry struct {
	organisation Organisation
	fractions    [Priorities]float64
}

func (v *verdict) encode(sequence uint64, entries []verdictEntry) []byte {
	b := make([]byte, 0, 64+min(len(entries)*verdictBytes, maxMessage))
	b = append(b, kindVerdict, version)
	b = binary.AppendUvarint(b, sequence)
	b = binary.LittleEndian.AppendUint64(b, uint64(v.service))
	b = append(b, flag(v.short, flagShort)|flag(v.covers, flagCovers))
	b = binary.AppendUvarint(b, milli(v.capacity))
	b = binary.AppendUvarint(b, uint64(math.Round(min(max(v.wait, 0), 10)*100)))
	// Weights may be rates of tokens, so that the level is far below a thousandth.
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(v.level))
	b = binary.LittleEndian.AppendUint16(b, admittedPriorities([Priorities]float64{v.rest}))
	for _, e := range entries {
		if len(b)+verdictBytes > maxMessage {
			break
		}
		b = binary.LittleEndian.AppendUint32(b, uint32(shortID(e.organisation)))
		b = binary.LittleEndian.AppendUint16(b, admittedPriorities(e.fractions))
	}
	return b
}

func decodeVerdict(data []byte) (*verdict, error) {
	r := &wire.Reader{Remaining: data}
	if r.Byte() != kindVerdict || r.Byte() != version {
		return nil, ErrMalformed
	}
	v := &verdict{shortIDs: true, sequence: r.Uvarint(math.MaxUint64), service: Service(r.Uint64())}
	flags := r.Byte()
	v.short, v.covers = flags&flagShort != 0, flags&flagCovers != 0
	v.capacity = float64(r.Uvarint(maxMilli)) / 1000
	v.wait = float64(r.Uvarint(1000)) / 100
	v.level = math.Float64frombits(r.Uint64())
	if v.level < 0 || math.IsNaN(v.level) || math.IsInf(v.level, 0) || flags > flagShort|flagCovers {
		return nil, ErrMalformed
	}
	v.rest = min(float64(binary.LittleEndian.Uint16(r.Bytes(2)))/fractionUnits, 1)
	v.fractions = map[Organisation][Priorities]float64{}
	for r.More() {
		id := Organisation(binary.LittleEndian.Uint32(r.Bytes(4)))
		f := fractionsOf(binary.LittleEndian.Uint16(r.Bytes(2)))
		if len(v.fractions) >= maxVerdictEntries {
			return nil, ErrMalformed
		}
		v.fractions[id] = f
	}
	if r.Malformed {
		return nil, ErrMalformed
	}
	return v, nil
}

func flag(set bool, f byte) byte {
	if set {
		return f
	}
	return 0
}

func millis(d time.Duration) uint64 {
	return uint64(min(max(d, 0), maxDuration) / time.Millisecond)
}
