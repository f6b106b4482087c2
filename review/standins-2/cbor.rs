//! A small CBOR codec for the values of the protocol: maps with text keys, lists, text, numbers,
//! booleans and null.

/// A decoded value.
#[derive(Debug, Clone, PartialEq)]
pub enum V {
    Null,
    Bool(bool),
    Int(i128),
    F(f64),
    T(String),
    A(Vec<V>),
    M(Vec<(String, V)>),
}

impl V {
    pub fn get(&self, key: &str) -> Option<&V> {
        match self {
            V::M(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn u64(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            V::Int(n) => u64::try_from(*n).ok(),
            V::F(n) => Some(*n as u64),
            _ => None,
        }
    }

    pub fn f64(&self, key: &str) -> Option<f64> {
        match self.get(key)? {
            V::Int(n) => Some(*n as f64),
            V::F(n) => Some(*n),
            _ => None,
        }
    }

    pub fn str(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            V::T(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> &[V] {
        match self.get(key) {
            Some(V::A(items)) => items,
            _ => &[],
        }
    }

    /// The value as JSON text, for the record.
    pub fn json(&self) -> String {
        match self {
            V::Null => "null".into(),
            V::Bool(flag) => flag.to_string(),
            V::Int(n) => n.to_string(),
            V::F(n) => format!("{n:?}"),
            V::T(text) => format!("{text:?}"),
            V::A(items) => format!("[{}]", items.iter().map(V::json).collect::<Vec<_>>().join(",")),
            V::M(fields) => {
                let field = |(name, value): &(String, V)| format!("{name:?}:{}", value.json());
                format!("{{{}}}", fields.iter().map(field).collect::<Vec<_>>().join(","))
            }
        }
    }
}

impl From<&str> for V {
    fn from(text: &str) -> V {
        V::T(text.into())
    }
}
impl From<String> for V {
    fn from(text: String) -> V {
        V::T(text)
    }
}
impl From<u64> for V {
    fn from(n: u64) -> V {
        V::Int(n.into())
    }
}
impl From<u32> for V {
    fn from(n: u32) -> V {
        V::Int(n.into())
    }
}
impl From<f64> for V {
    fn from(n: f64) -> V {
        V::F(n)
    }
}
impl From<bool> for V {
    fn from(flag: bool) -> V {
        V::Bool(flag)
    }
}
impl From<Vec<V>> for V {
    fn from(items: Vec<V>) -> V {
        V::A(items)
    }
}

/// Builds a map.
#[macro_export]
macro_rules! map {
    ($($key:expr => $value:expr),* $(,)?) => { $crate::cbor::V::M(vec![$(($key.to_string(), $crate::cbor::V::from($value))),*]) };
}

pub fn encode(value: &V) -> Vec<u8> {
    let mut out = Vec::new();
    write(value, &mut out);
    out
}

fn head(major: u8, n: u64, out: &mut Vec<u8>) {
    let major = major << 5;
    match n {
        0..=23 => out.push(major | n as u8),
        24..=0xff => out.extend([major | 24, n as u8]),
        0x100..=0xffff => {
            out.push(major | 25);
            out.extend((n as u16).to_be_bytes());
        }
        0x1_0000..=0xffff_ffff => {
            out.push(major | 26);
            out.extend((n as u32).to_be_bytes());
        }
        _ => {
            out.push(major | 27);
            out.extend(n.to_be_bytes());
        }
    }
}

fn write(value: &V, out: &mut Vec<u8>) {
    match value {
        V::Null => out.push(0xf6),
        V::Bool(flag) => out.push(if *flag { 0xf5 } else { 0xf4 }),
        V::Int(n) if *n >= 0 => head(0, *n as u64, out),
        V::Int(n) => head(1, (-1 - *n) as u64, out),
        V::F(n) => {
            out.push(0xfb);
            out.extend(n.to_be_bytes());
        }
        V::T(text) => {
            head(3, text.len() as u64, out);
            out.extend(text.as_bytes());
        }
        V::A(items) => {
            head(4, items.len() as u64, out);
            items.iter().for_each(|item| write(item, out));
        }
        V::M(fields) => {
            head(5, fields.len() as u64, out);
            for (name, value) in fields {
                head(3, name.len() as u64, out);
                out.extend(name.as_bytes());
                write(value, out);
            }
        }
    }
}

pub fn decode(bytes: &[u8]) -> Option<V> {
    let mut at = 0;
    read(bytes, &mut at)
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
    let part = bytes.get(*at..at.checked_add(n)?)?;
    *at += n;
    Some(part)
}

fn argument(bytes: &[u8], at: &mut usize, info: u8) -> Option<u64> {
    Some(match info {
        0..=23 => info.into(),
        24 => take(bytes, at, 1)?[0].into(),
        25 => u16::from_be_bytes(take(bytes, at, 2)?.try_into().ok()?).into(),
        26 => u32::from_be_bytes(take(bytes, at, 4)?.try_into().ok()?).into(),
        27 => u64::from_be_bytes(take(bytes, at, 8)?.try_into().ok()?),
        _ => return None,
    })
}

fn half(bits: u16) -> f64 {
    let (exponent, fraction) = ((bits >> 10) & 0x1f, f64::from(bits & 0x3ff));
    let magnitude = match exponent {
        0 => fraction * 2f64.powi(-24),
        31 if fraction == 0.0 => f64::INFINITY,
        31 => f64::NAN,
        _ => (1.0 + fraction / 1024.0) * 2f64.powi(i32::from(exponent) - 15),
    };
    if bits & 0x8000 != 0 {
        -magnitude
    } else {
        magnitude
    }
}

fn read(bytes: &[u8], at: &mut usize) -> Option<V> {
    let first = take(bytes, at, 1)?[0];
    let (major, info) = (first >> 5, first & 31);
    if major == 7 {
        return Some(match info {
            20 => V::Bool(false),
            21 => V::Bool(true),
            22 | 23 => V::Null,
            25 => V::F(half(u16::from_be_bytes(take(bytes, at, 2)?.try_into().ok()?))),
            26 => V::F(f32::from_be_bytes(take(bytes, at, 4)?.try_into().ok()?).into()),
            27 => V::F(f64::from_be_bytes(take(bytes, at, 8)?.try_into().ok()?)),
            _ => return None,
        });
    }
    let n = argument(bytes, at, info)?;
    Some(match major {
        0 => V::Int(n.into()),
        1 => V::Int(-1 - i128::from(n)),
        3 => V::T(String::from_utf8(take(bytes, at, n as usize)?.to_vec()).ok()?),
        4 => V::A((0..n).map(|_| read(bytes, at)).collect::<Option<_>>()?),
        5 => {
            let mut fields = Vec::new();
            for _ in 0..n {
                let V::T(name) = read(bytes, at)? else { return None };
                fields.push((name, read(bytes, at)?));
            }
            V::M(fields)
        }
        _ => return None,
    })
}
