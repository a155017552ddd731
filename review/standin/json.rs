//! A small parser of JSON, enough for the bodies that the program sends.

use std::collections::BTreeMap;

#[derive(Debug)]
pub enum Json {
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
    Other,
}

impl Json {
    fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Json> {
    let chars: Vec<char> = text.chars().collect();
    value(&chars, &mut 0)
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match chars.get(*at)? {
        '{' => {
            let mut map = BTreeMap::new();
            *at += 1;
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    ',' => *at += 1,
                    _ => {
                        let name = string(chars, at)?;
                        skip(chars, at);
                        *at += 1;
                        map.insert(name, value(chars, at)?);
                    }
                }
            }
        }
        '[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(value(chars, at)?),
                }
            }
        }
        '"' => string(chars, at).map(Json::Text),
        _ => {
            let start = *at;
            while chars.get(*at).is_some_and(|c| !matches!(c, ',' | '}' | ']') && !c.is_whitespace()) {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            Some(word.parse().map_or(Json::Other, Json::Number))
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    if chars.get(*at)? != &'"' {
        return None;
    }
    *at += 1;
    let mut text = String::new();
    loop {
        match chars.get(*at)? {
            '"' => {
                *at += 1;
                return Some(text);
            }
            '\\' => {
                text.push(*chars.get(*at + 1)?);
                *at += 2;
            }
            c => {
                text.push(*c);
                *at += 1;
            }
        }
    }
}
