package node

import (
	"encoding/json"
	"fmt"
	"io"
)

// maxListSize limits an encoded list, in bytes. An endpoint takes about 160 bytes at most, so three times 70,000
// endpoints fit.
const maxListSize = 32 << 20

// errListTooLong means that a list exceeds maxListSize and was not read to its end.
var errListTooLong = fmt.Errorf("list of more than %d bytes", maxListSize)

// readList decodes discovery's response one entry at a time, so that the encoded list is never in memory as a whole.
func readList(r io.Reader) (EndpointList, error) {
	limited := &io.LimitedReader{R: r, N: maxListSize + 1}
	var list EndpointList
	err := list.decode(json.NewDecoder(limited))
	switch {
	case err != nil && limited.N <= 0: // the input was cut off at the limit
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
	first, err := dec.Token()
	if err != nil || first == nil { // null means an empty list
		return err
	}
	if first != json.Delim('[') {
		return fmt.Errorf("instances: want an array, got %v", first)
	}
	for dec.More() {
		var inst Instance
		if err := dec.Decode(&inst); err != nil {
			return err
		}
		l.Instances = append(l.Instances, inst)
	}
	return expectDelim(dec, json.Delim(']'))
}

// expectDelim reads the given delimiter. The end of the input is unexpected here.
func expectDelim(dec *json.Decoder, want json.Delim) error {
	got, err := dec.Token()
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err == nil && got != want {
		return fmt.Errorf("got %v, want %v", got, want)
	}
	return err
}
