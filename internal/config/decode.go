package config

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// SnapshotOf builds the snapshot of stored objects.
func SnapshotOf(revision uint64, objects []Object) (*Snapshot, error) {
	content, err := DecodeObjects(objects)
	if err != nil {
		return nil, err
	}
	return BuildSnapshot(revision, content), nil
}

// DecodeObjects decodes the specs of stored objects; deleted ones are left out.
func DecodeObjects(objects []Object) (DecodedObjects, error) {
	var content DecodedObjects
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		spec, known := newSpec(o.Kind, o.Name)
		if !known {
			return DecodedObjects{}, errors.Errorf("object %s has an unknown kind; upgrade this process", o.Ref)
		}
		if err := json.Unmarshal(o.Spec, spec); err != nil {
			return DecodedObjects{}, errors.Wrapf(err, "decode %s", o.Ref)
		}
		content.add(spec)
	}
	return content, nil
}

// Append adds the objects of p, which both then share.
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
