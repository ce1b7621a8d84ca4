package node

import (
	"encoding/json"
	"fmt"
	"io"
)

// maxList bounds a list on the wire. An endpoint takes about 160 bytes there at most, so that three times 70,000 pass.
const maxListSize = 32 << 20

// errLongList says that a list was not read to its end.
var errListTooLong = fmt.Errorf("list of more than %d bytes", maxListSize)

// readList decodes discovery's answer an entry at a time: its text never stands in memory as a whole.
func readList(r io.Reader) (EndpointList, error) {
	in := &io.LimitedReader{R: r, N: maxListSize + 1}
	var list EndpointList
	err := list.decode(json.NewDecoder(in))
	switch {
	case err != nil && in.N <= 0: // the text was cut
		return EndpointList{}, errListTooLong
	case err != nil:
		return EndpointList{}, fmt.Errorf("read list: %w", err)
	}
	return list, nil
}

func (l *EndpointList) decode(dec *json.Decoder) error {
	if err := expectDelim(dec, json.Delim('{')); err != nil {
		return err
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return err
		}
		switch name {
		case "generation":
			err = dec.Decode(&l.Generation)
		case "reset":
			err = dec.Decode(&l.Reset)
		case "instances":
			err = l.decodeInstances(dec)
		default:
			err = dec.Decode(new(json.RawMessage))
		}
		if err != nil {
			return err
		}
	}
	return expectDelim(dec, json.Delim('}'))
}

func (l *EndpointList) decodeInstances(dec *json.Decoder) error {
	open, err := dec.Token()
	if err != nil || open == nil { // null is an empty list
		return err
	}
	if open != json.Delim('[') {
		return fmt.Errorf("instances begin with %v", open)
	}
	for dec.More() {
		var in Instance
		if err := dec.Decode(&in); err != nil {
			return err
		}
		l.Instances = append(l.Instances, in)
	}
	return expectDelim(dec, json.Delim(']'))
}

// expect reads a bracket. At the end of the text there is none.
func expectDelim(dec *json.Decoder, want json.Delim) error {
	got, err := dec.Token()
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err == nil && got != want {
		return fmt.Errorf("%v where %v should be", got, want)
	}
	return err
}
