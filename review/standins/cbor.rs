//! CBOR values: the subset that the protocol uses (maps with text keys, lists, text, numbers,
//! booleans and null).

/// A CBOR value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Map(entries) => entries.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn int(&self) -> Option<u64> {
        match self {
            Value::Int(number) => u64::try_from(*number).ok(),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Value::Int(number) => Some(*number as f64),
            Value::Float(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }

    pub fn text_at(&self, key: &str) -> Option<&str> {
        self.get(key)?.text()
    }

    pub fn int_at(&self, key: &str) -> Option<u64> {
        self.get(key)?.int()
    }

    pub fn number_at(&self, key: &str) -> Option<f64> {
        self.get(key)?.number()
    }

    /// Returns the value in JSON form.
    pub fn json(&self) -> String {
        match self {
            Value::Null => "null".into(),
            Value::Bool(value) => value.to_string(),
            Value::Int(number) => number.to_string(),
            Value::Float(number) => format!("{number:?}"),
            Value::Text(text) => format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\"")),
            Value::List(items) => format!("[{}]", items.iter().map(Value::json).collect::<Vec<_>>().join(",")),
            Value::Map(entries) => {
                let entry = |(key, value): &(String, Value)| format!("\"{key}\":{}", value.json());
                format!("{{{}}}", entries.iter().map(entry).collect::<Vec<_>>().join(","))
            }
        }
    }
}

/// Builds a map.
pub fn map<const N: usize>(entries: [(&str, Value); N]) -> Value {
    Value::Map(entries.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

pub fn text(text: &str) -> Value {
    Value::Text(text.to_owned())
}

pub fn int(number: u64) -> Value {
    Value::Int(i128::from(number))
}

fn head(out: &mut Vec<u8>, major: u8, number: u64) {
    let major = major << 5;
    if number < 24 {
        out.push(major | number as u8);
    } else if number < 1 << 8 {
        out.extend([major | 24, number as u8]);
    } else if number < 1 << 16 {
        out.push(major | 25);
        out.extend((number as u16).to_be_bytes());
    } else if number < 1 << 32 {
        out.push(major | 26);
        out.extend((number as u32).to_be_bytes());
    } else {
        out.push(major | 27);
        out.extend(number.to_be_bytes());
    }
}

fn write(out: &mut Vec<u8>, value: &Value) {
    match value {
        Value::Null => out.push(0xf6),
        Value::Bool(value) => out.push(if *value { 0xf5 } else { 0xf4 }),
        Value::Int(number) if *number < 0 => head(out, 1, (-1 - number) as u64),
        Value::Int(number) => head(out, 0, *number as u64),
        Value::Float(number) => {
            out.push(0xfb);
            out.extend(number.to_be_bytes());
        }
        Value::Text(text) => {
            head(out, 3, text.len() as u64);
            out.extend(text.as_bytes());
        }
        Value::List(items) => {
            head(out, 4, items.len() as u64);
            items.iter().for_each(|item| write(out, item));
        }
        Value::Map(entries) => {
            head(out, 5, entries.len() as u64);
            for (key, value) in entries {
                head(out, 3, key.len() as u64);
                out.extend(key.as_bytes());
                write(out, value);
            }
        }
    }
}

pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    write(&mut out, value);
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    depth: usize,
}

impl Reader<'_> {
    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let (taken, rest) = self.bytes.split_at_checked(count)?;
        self.bytes = rest;
        Some(taken)
    }

    fn number(&mut self, info: u8) -> Option<u64> {
        Some(match info {
            0..=23 => u64::from(info),
            24 => u64::from(self.take(1)?[0]),
            25 => u64::from(u16::from_be_bytes(self.take(2)?.try_into().ok()?)),
            26 => u64::from(u32::from_be_bytes(self.take(4)?.try_into().ok()?)),
            27 => u64::from_be_bytes(self.take(8)?.try_into().ok()?),
            _ => return None,
        })
    }

    fn is_break(&mut self) -> bool {
        let is_break = self.bytes.first() == Some(&0xff);
        if is_break {
            self.bytes = &self.bytes[1..];
        }
        is_break
    }

    fn value(&mut self) -> Option<Value> {
        self.depth += 1;
        if self.depth > 64 {
            return None;
        }
        let first = self.take(1)?[0];
        let (major, info) = (first >> 5, first & 31);
        let indefinite = info == 31;
        let value = match major {
            0 => Value::Int(i128::from(self.number(info)?)),
            1 => Value::Int(-1 - i128::from(self.number(info)?)),
            3 => {
                let length = self.number(info)? as usize;
                Value::Text(String::from_utf8(self.take(length)?.to_vec()).ok()?)
            }
            4 => {
                let count = if indefinite { u64::MAX } else { self.number(info)? };
                let mut items = Vec::new();
                while (items.len() as u64) < count && !(indefinite && self.is_break()) {
                    items.push(self.value()?);
                }
                Value::List(items)
            }
            5 => {
                let count = if indefinite { u64::MAX } else { self.number(info)? };
                let mut entries = Vec::new();
                while (entries.len() as u64) < count && !(indefinite && self.is_break()) {
                    let Value::Text(key) = self.value()? else { return None };
                    entries.push((key, self.value()?));
                }
                Value::Map(entries)
            }
            7 => match info {
                20 => Value::Bool(false),
                21 => Value::Bool(true),
                22 | 23 => Value::Null,
                25 => Value::Float(half(u16::from_be_bytes(self.take(2)?.try_into().ok()?))),
                26 => Value::Float(f64::from(f32::from_be_bytes(self.take(4)?.try_into().ok()?))),
                27 => Value::Float(f64::from_be_bytes(self.take(8)?.try_into().ok()?)),
                _ => return None,
            },
            _ => return None,
        };
        self.depth -= 1;
        Some(value)
    }
}

fn half(bits: u16) -> f64 {
    let exponent = i32::from((bits >> 10) & 31);
    let fraction = f64::from(bits & 1023);
    let magnitude = match exponent {
        0 => fraction * 2f64.powi(-24),
        31 if fraction == 0.0 => f64::INFINITY,
        31 => f64::NAN,
        _ => (1024.0 + fraction) * 2f64.powi(exponent - 25),
    };
    if bits >> 15 == 1 {
        -magnitude
    } else {
        magnitude
    }
}

pub fn decode(bytes: &[u8]) -> Option<Value> {
    Reader { bytes, depth: 0 }.value()
}
