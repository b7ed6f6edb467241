package tomlcheck_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

type door struct {
	Name string `toml:"name"`
	Open bool   `toml:"open"`
}

type house struct {
	Street string         `toml:"street"`
	Number int            `toml:"number"`
	Doors  []door         `toml:"doors"`
	Tags   []string       `toml:"tags"`
	Steps  map[string]int `toml:"steps"`
}

func TestDecodeKeepsDefaultsOfAbsentKeys(t *testing.T) {
	g := NewWithT(t)
	h := house{Number: 7}
	r := tomlcheck.Decode("h.toml", []byte("street = 'a'\nsteps = { up = 2 }\n[[doors]]\nname = 'x'\nopen = true\n"), &h)

	g.Expect(r.Err()).NotTo(HaveOccurred())
	g.Expect(h).To(Equal(house{Street: "a", Number: 7, Doors: []door{{"x", true}}, Steps: map[string]int{"up": 2}}))
}

func TestDecodeReportsAllFaults(t *testing.T) {
	g := NewWithT(t)
	text := `stret = "a"
number = "seven"
tags = [
  "one",
  2,
]
steps = { up = "x" }

[[doors]]
name = "front"

[[doors]]
nmae = "back"
open = 1
`
	err := tomlcheck.Decode("h.toml", []byte(text), &house{}).Err()

	g.Expect(err).To(MatchError(`h.toml:1: stret: unknown key; expected one of doors, number, steps, street, tags; did you mean "street"?
h.toml:2: number: found the text "seven"; expected a whole number
h.toml:5: tags[2]: found the number 2; expected text in quotes
h.toml:7: steps.up: found the text "x"; expected a whole number
h.toml:13: doors[2].nmae: unknown key; expected one of name, open; did you mean "name"?
h.toml:14: doors[2].open: found the number 1; expected true or false`))
}

func TestDecodeReportsLineOfSyntaxFault(t *testing.T) {
	g := NewWithT(t)
	err := tomlcheck.Decode("h.toml", []byte("street = 'a'\nnumber = = 3\n"), &house{}).Err()

	faults := err.(tomlcheck.Faults)
	g.Expect(faults).To(HaveLen(1))
	g.Expect(faults[0].Line).To(Equal(2))
}

func TestNearest(t *testing.T) {
	g := NewWithT(t)
	valid := []string{"entry", "endpoint", "control"}
	g.Expect(tomlcheck.Nearest("contorl", valid)).To(Equal("control"))
	g.Expect(tomlcheck.Nearest("endpont", valid)).To(Equal("endpoint"))
	g.Expect(tomlcheck.Nearest("banana", valid)).To(BeEmpty())
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("street = 'a'\n[[doors]]\nname = 'x'\n"))
	f.Add([]byte("steps.up = 1\ntags = [\n'a', [1], {a = 2}]"))
	f.Add([]byte("[a.b]\n[[a.c]]\n[a.c.d]\nx = 1"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = tomlcheck.Decode("f", data, &house{}).Err()
	})
}
