package peers

import (
	"sync"

	"github.com/chestnutpond/chestnutpond/internal/wire/inner"
	"github.com/chestnutpond/chestnutpond/internal/wire/pack"
)

// packer packs each document once for all streams.
type packer struct {
	mu      sync.Mutex
	version int64
	packed  []byte
}

// shorten replaces the document of a reply by the packed one if that is shorter.
func (p *packer) shorten(reply *inner.AnnounceReply) {
	if len(reply.GetDocument()) == 0 {
		return
	}
	packed := p.pack(reply.GetConfigVersion(), reply.GetDocument())
	if len(packed) > 0 && len(packed) < len(reply.GetDocument()) {
		reply.Document, reply.PackedDocument = nil, packed
	}
}

// pack returns nothing if the document cannot be packed; it is sent as it is.
func (p *packer) pack(version int64, document []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == version {
		return p.packed
	}
	packed, err := pack.Pack(document)
	if err != nil {
		return nil
	}
	p.version, p.packed = version, packed
	return packed
}
