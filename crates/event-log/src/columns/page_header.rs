//! Checks the sizes in page headers before the Parquet library allocates memory for them.
//!
//! Page headers are encoded in Thrift's compact protocol. Only the fields that lead to allocations are read here. A
//! file with a valid checksum needs no such check.

use super::ColumnError;
use parquet::file::metadata::ParquetMetaData;

/// Largest accepted ratio of a page's uncompressed to its compressed size. Snappy expands three bytes to at most 64, so
/// a page with a larger ratio is damaged.
const MAX_COMPRESSION_RATIO: usize = 32;
/// Largest accepted nesting of structs and lists; a valid page header has three levels.
const MAX_DEPTH: usize = 8;
/// Field numbers in Parquet's `PageHeader`.
const UNCOMPRESSED_SIZE_FIELD: i16 = 2;
const COMPRESSED_SIZE_FIELD: i16 = 3;
const DICTIONARY_HEADER_FIELD: i16 = 7;
/// Field number in Parquet's `DictionaryPageHeader`.
const DICTIONARY_VALUES_FIELD: i16 = 1;

/// Checks the sizes in the headers of all pages of a file; fails with [`ColumnError::PageSize`].
pub(super) fn check_page_sizes(file: &[u8], metadata: &ParquetMetaData) -> Result<(), ColumnError> {
    for row_group in metadata.row_groups() {
        for column in row_group.columns() {
            let (start, size) = column.byte_range();
            let pages = usize::try_from(start).ok().zip(usize::try_from(size).ok());
            let pages = pages.and_then(|(start, size)| file.get(start..start.checked_add(size)?));
            check_column(pages.ok_or(ColumnError::PageSize)?)?;
        }
    }
    Ok(())
}

fn check_column(mut pages: &[u8]) -> Result<(), ColumnError> {
    while !pages.is_empty() {
        let mut reader = CompactReader { bytes: pages };
        let header = PageSizes::read(&mut reader).ok_or(ColumnError::PageSize)?;
        let max_size = header.compressed.saturating_mul(MAX_COMPRESSION_RATIO);
        // Each value of a dictionary takes at least one byte.
        if header.uncompressed > max_size || header.dictionary_values > header.uncompressed {
            return Err(ColumnError::PageSize);
        }
        pages = reader.bytes.get(header.compressed..).ok_or(ColumnError::PageSize)?;
    }
    Ok(())
}

/// The sizes in a page header; 0 for absent fields.
#[derive(Debug, Default)]
struct PageSizes {
    /// Uncompressed size of the page in bytes.
    uncompressed: usize,
    /// Compressed size of the page in bytes.
    compressed: usize,
    /// Number of values in a dictionary page.
    dictionary_values: usize,
}

impl PageSizes {
    /// Reads a header, and leaves `reader` at its end; `None` if the header is damaged.
    fn read(reader: &mut CompactReader) -> Option<PageSizes> {
        let mut sizes = PageSizes::default();
        let mut id = 0;
        while let Some(field) = reader.field(&mut id)? {
            match field.id {
                UNCOMPRESSED_SIZE_FIELD => sizes.uncompressed = reader.size(field.kind)?,
                COMPRESSED_SIZE_FIELD => sizes.compressed = reader.size(field.kind)?,
                DICTIONARY_HEADER_FIELD if field.kind == FieldKind::Struct => {
                    sizes.dictionary_values = read_dictionary_values(reader)?;
                }
                _ => reader.skip(field.kind, 0)?,
            }
        }
        Some(sizes)
    }
}

fn read_dictionary_values(reader: &mut CompactReader) -> Option<usize> {
    let mut values = 0;
    let mut id = 0;
    while let Some(field) = reader.field(&mut id)? {
        match field.id {
            DICTIONARY_VALUES_FIELD => values = reader.size(field.kind)?,
            _ => reader.skip(field.kind, 0)?,
        }
    }
    Some(values)
}

/// Types of Thrift's compact protocol, grouped by how their values are encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FieldKind {
    /// In a struct, the value is part of the type code; in a list, it takes one byte.
    Boolean,
    Byte,
    Integer,
    Double,
    Binary,
    List,
    Struct,
}

impl FieldKind {
    fn from_code(code: u8) -> Option<FieldKind> {
        match code {
            1 | 2 => Some(FieldKind::Boolean),
            3 => Some(FieldKind::Byte),
            4..=6 => Some(FieldKind::Integer),
            7 => Some(FieldKind::Double),
            8 => Some(FieldKind::Binary),
            9 | 10 => Some(FieldKind::List),
            12 => Some(FieldKind::Struct),
            _ => None,
        }
    }
}

/// The header of a struct's field, which precedes its value.
struct Field {
    id: i16,
    kind: FieldKind,
}

/// Reads values in Thrift's compact protocol. Methods return `None` if the bytes end too early or are invalid.
struct CompactReader<'a> {
    bytes: &'a [u8],
}

impl CompactReader<'_> {
    fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.bytes.split_first()?;
        self.bytes = rest;
        Some(*first)
    }

    fn advance(&mut self, count: usize) -> Option<()> {
        self.bytes = self.bytes.get(count..)?;
        Some(())
    }

    fn varint(&mut self) -> Option<u64> {
        let mut value = 0;
        for shift in (0..u64::BITS).step_by(7) {
            let byte = self.byte()?;
            value |= u64::from(byte & 0x7f) << shift;
            if byte & 0x80 == 0 {
                return Some(value);
            }
        }
        None
    }

    fn zigzag(&mut self) -> Option<i64> {
        let value = self.varint()?;
        Some((value >> 1) as i64 ^ -((value & 1) as i64))
    }

    /// Reads an integer that is a size.
    fn size(&mut self, kind: FieldKind) -> Option<usize> {
        if kind != FieldKind::Integer {
            return None;
        }
        usize::try_from(self.zigzag()?).ok()
    }

    /// Reads the header of a struct's next field, or `Some(None)` at the end of the struct. `previous_id` is the
    /// number of the field before, 0 at first, and is updated.
    fn field(&mut self, previous_id: &mut i16) -> Option<Option<Field>> {
        let header = self.byte()?;
        if header == 0 {
            return Some(None);
        }
        let id = match header >> 4 {
            0 => i16::try_from(self.zigzag()?).ok()?,
            delta => previous_id.checked_add(i16::from(delta))?,
        };
        *previous_id = id;
        Some(Some(Field { id, kind: FieldKind::from_code(header & 0x0f)? }))
    }

    fn skip(&mut self, kind: FieldKind, depth: usize) -> Option<()> {
        if depth > MAX_DEPTH {
            return None;
        }
        match kind {
            FieldKind::Boolean => Some(()),
            FieldKind::Byte => self.advance(1),
            FieldKind::Integer => self.varint().map(|_| ()),
            FieldKind::Double => self.advance(size_of::<f64>()),
            FieldKind::Binary => {
                let size = usize::try_from(self.varint()?).ok()?;
                self.advance(size)
            }
            FieldKind::List => self.skip_list(depth),
            FieldKind::Struct => {
                let mut id = 0;
                while let Some(field) = self.field(&mut id)? {
                    self.skip(field.kind, depth + 1)?;
                }
                Some(())
            }
        }
    }

    fn skip_list(&mut self, depth: usize) -> Option<()> {
        let header = self.byte()?;
        let kind = FieldKind::from_code(header & 0x0f)?;
        let count = match header >> 4 {
            0x0f => self.varint()?,
            count => u64::from(count),
        };
        for _ in 0..count {
            match kind {
                FieldKind::Boolean => self.advance(1)?,
                _ => self.skip(kind, depth + 1)?,
            }
        }
        Some(())
    }
}
