package standin

import "go.etcd.io/bbolt"

// DescriptionStore is a store of task descriptions, in the same file as the other records. It
// implements taskspec.Store and is safe for concurrent use.
type DescriptionStore struct{ DB *bbolt.DB }

// Put stores a description unless the name has one, which is returned then and kept.
func (d DescriptionStore) Put(name string, data []byte) (old []byte, err error) {
	err = d.DB.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(descriptionsBucket)
		if err != nil {
			return err
		}
		if stored := bucket.Get([]byte(name)); stored != nil {
			old = append([]byte(nil), stored...) // valid only in the transaction
			return nil
		}
		return bucket.Put([]byte(name), data)
	})
	return old, err
}

// Get returns a name's description, nil if there is none.
func (d DescriptionStore) Get(name string) (data []byte, err error) {
	err = d.DB.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(descriptionsBucket)
		if bucket == nil {
			return nil // none was stored yet
		}
		if stored := bucket.Get([]byte(name)); stored != nil {
			data = append([]byte(nil), stored...) // valid only in the transaction
		}
		return nil
	})
	return data, err
}
