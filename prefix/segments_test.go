package prefix

import "testing"

func TestSegmentLevels(t *testing.T) {
	segments := []Segment{{"a", 800}, {"b", 400}, {"c", 250}}
	one := SegmentLevels(Seed{Model: "m", Version: "1"}, segments)
	if len(one) != 3 || one[1].Tokens != 1200 || !one[2].Message {
		t.Fatalf("levels %+v", one)
	}
	other := SegmentLevels(Seed{Model: "m", Version: "1"}, []Segment{{"a", 800}, {"b", 400}, {"d", 250}})
	if one[1].Key != other[1].Key || one[2].Key == other[2].Key {
		t.Error("equal beginnings must have equal keys, others not")
	}
	for name, seed := range map[string]Seed{
		"weights":      {Model: "m", Version: "2"},
		"organisation": {Model: "m", Version: "1", Organisation: "o"},
		"model":        {Model: "n", Version: "1"},
	} {
		if SegmentLevels(seed, segments)[0].Key == one[0].Key {
			t.Errorf("%s: keys are shared", name)
		}
	}
	if SegmentLevels(Seed{}, []Segment{{"ab", 1}, {"c", 1}})[1].Key == SegmentLevels(Seed{}, []Segment{{"a", 1}, {"bc", 1}})[1].Key {
		t.Error("segment boundaries do not affect keys")
	}
	if len(SegmentLevels(Seed{}, make([]Segment, MaxLevels+5))) != MaxLevels {
		t.Error("too many levels")
	}
}
