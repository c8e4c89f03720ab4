package routing

import "testing"

// Guards the match of routes: host without case and port, longest prefix.
func TestMatch(t *testing.T) {
	table := New(1, []*Route{
		{Name: "all", Host: "A.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
	}, nil, DefaultLimits())
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example:80", "/x/z", "short"},
		{"A.EXAMPLE", "/x", "all"},
		{"b.example", "/x/", ""},
	}
	for _, c := range cases {
		r, ok := table.Match(c.host, c.path)
		if ok != (c.want != "") || ok && r.Name != c.want {
			t.Errorf("%s%s matches %v; want %q", c.host, c.path, r, c.want)
		}
	}
}

// Guards against a split that sends a service more or less than its weight.
func TestPick(t *testing.T) {
	r := &Route{WeightedServices: []WeightedService{{"a", 90}, {"b", 10}, {"none", 0}}}
	count := make(map[string]int)
	const draws = 1000
	for i := range draws {
		count[r.SelectService(float64(i)/draws)]++
	}
	if count["a"] != 900 || count["b"] != 100 || count["none"] != 0 {
		t.Errorf("picked %v; want 900 and 100", count)
	}
}

// Guards against a late read that brings an older version back.
func TestHolderNeverGoesBack(t *testing.T) {
	var h Holder
	for _, v := range []uint64{3, 7, 5, 7} {
		h.Replace(New(v, nil, nil, DefaultLimits()))
	}
	if v := h.Table().Version; v != 7 {
		t.Errorf("version %d in force; want 7", v)
	}
}
