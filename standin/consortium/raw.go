package consortium

import (
	"bytes"
	"encoding/json"
)

// rawMark begins the placeholder that stands for the text of a raw object until a response
// has been encoded.
const rawMark = "raw-object:"

// PutRaw writes an object as another writer might: its text, in which metadata need not name
// the object, is sent as it is and need not be JSON.
func (s *Store) PutRaw(kind, name, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, nil, nil)
	o := s.objects[kind][name]
	o.raw = text
	s.objects[kind][name] = o
	s.history[len(s.history)-1].object = o
}

// MarshalJSON implements json.Marshaler. A raw object is encoded as a placeholder, because
// encoding/json accepts no invalid text.
func (o Object) MarshalJSON() ([]byte, error) {
	if o.raw != "" {
		return json.Marshal(rawMark + o.Metadata.Name)
	}
	type plain Object
	return json.Marshal(plain(o))
}

// insertRaw replaces the placeholders of raw objects in an encoded response.
func insertRaw(data []byte, body any) []byte {
	var objects []Object
	switch b := body.(type) {
	case listResponse:
		objects = b.Items
	case watchResponse:
		for _, e := range b.Events {
			objects = append(objects, e.Object)
		}
	case Object:
		objects = []Object{b}
	}
	for _, o := range objects {
		if o.raw != "" {
			mark, _ := json.Marshal(rawMark + o.Metadata.Name) // a string can be encoded
			data = bytes.Replace(data, mark, []byte(o.raw), 1)
		}
	}
	return data
}
