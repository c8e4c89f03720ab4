package config

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// DecodeSnapshot decodes stored objects and builds a Snapshot from them.
func DecodeSnapshot(revision uint64, objects []Object) (*Snapshot, error) {
	decoded, err := DecodeObjects(objects)
	if err != nil {
		return nil, err
	}
	return BuildSnapshot(revision, decoded), nil
}

// DecodeObjects decodes the specs of stored objects. It skips deleted objects.
func DecodeObjects(objects []Object) (DecodedObjects, error) {
	var decoded DecodedObjects
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		spec, knownKind := newSpec(o.Kind, o.Name)
		if !knownKind {
			return DecodedObjects{}, errors.Errorf("object %s has an unknown kind; upgrade this process", o.Ref)
		}
		if err := json.Unmarshal(o.Spec, spec); err != nil {
			return DecodedObjects{}, errors.Wrapf(err, "decode spec of %s", o.Ref)
		}
		decoded.add(spec)
	}
	return decoded, nil
}

// Append adds the objects of p to o. Both then share the objects.
func (o *DecodedObjects) Append(p DecodedObjects) {
	o.Pools = append(o.Pools, p.Pools...)
	o.Upstreams = append(o.Upstreams, p.Upstreams...)
	o.Models = append(o.Models, p.Models...)
	o.Routes = append(o.Routes, p.Routes...)
	o.Callers = append(o.Callers, p.Callers...)
	if p.Policy != nil {
		o.Policy = p.Policy
	}
}

func (o *DecodedObjects) add(spec any) {
	switch s := spec.(type) {
	case *Pool:
		o.Pools = append(o.Pools, s)
	case *Upstream:
		o.Upstreams = append(o.Upstreams, s)
	case *Model:
		o.Models = append(o.Models, s)
	case *Route:
		o.Routes = append(o.Routes, s)
	case *Caller:
		o.Callers = append(o.Callers, s)
	case *Policy:
		o.Policy = s
	}
}
