package prefix

import "testing"

func TestChainOfParts(t *testing.T) {
	parts := []Part{{"a", 800}, {"b", 400}, {"c", 250}}
	one := Chain(Seed{Model: "m", Version: "1"}, parts)
	if len(one) != 3 || one[1].Tokens != 1200 || !one[2].Message {
		t.Fatalf("levels %+v", one)
	}
	other := Chain(Seed{Model: "m", Version: "1"}, []Part{{"a", 800}, {"b", 400}, {"d", 250}})
	if one[1].Key != other[1].Key || one[2].Key == other[2].Key {
		t.Error("equal beginnings must have equal keys, others not")
	}
	for name, seed := range map[string]Seed{
		"weights":      {Model: "m", Version: "2"},
		"organisation": {Model: "m", Version: "1", Organisation: "o"},
		"model":        {Model: "n", Version: "1"},
	} {
		if Chain(seed, parts)[0].Key == one[0].Key {
			t.Errorf("%s: keys are shared", name)
		}
	}
	if Chain(Seed{}, []Part{{"ab", 1}, {"c", 1}})[1].Key == Chain(Seed{}, []Part{{"a", 1}, {"bc", 1}})[1].Key {
		t.Error("parts run into each other")
	}
	if len(Chain(Seed{}, make([]Part, MaxLevels+5))) != MaxLevels {
		t.Error("too many levels")
	}
}
