//! Finds complete JSON objects in text that arrives in pieces, looking at each byte once. It does not check
//! that they are valid.

/// The state after the bytes that have been scanned.
#[derive(Debug, Default)]
pub struct ObjectScanner {
    scanned_bytes: usize,
    /// How many objects and lists are open.
    depth: usize,
    in_string: bool,
    is_escaped: bool,
}

impl ObjectScanner {
    /// Scans what `text` holds beyond the bytes scanned before. Returns whether an object ended there, or
    /// there is something that belongs to none.
    pub fn scan(&mut self, text: &[u8]) -> bool {
        let mut found = false;
        for byte in &text[self.scanned_bytes.min(text.len())..] {
            found |= self.step(*byte);
        }
        self.scanned_bytes = text.len().max(self.scanned_bytes);
        found
    }

    /// Scans one byte. Returns whether an object ends with it, or it belongs to none.
    fn step(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.in_string = self.is_escaped || byte != b'"';
            self.is_escaped = !self.is_escaped && byte == b'\\';
            return false;
        }
        match byte {
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                return self.depth == 0;
            }
            b'"' if self.depth > 0 => self.in_string = true,
            _ => return self.depth == 0 && !byte.is_ascii_whitespace(),
        }
        false
    }

    /// Notes that the first bytes of the text have been removed.
    pub fn removed(&mut self, bytes: usize) {
        self.scanned_bytes = self.scanned_bytes.saturating_sub(bytes);
    }
}
