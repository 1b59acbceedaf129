//! Tickets as callers see them: a text that only the router life that minted it can make.
//!
//! The text is `v1.<minter>.<number>.<mac>`, all in lower-case hexadecimal. The code at the end
//! is keyed by a secret that the router draws at its start and tells nobody, so a caller can
//! neither guess nor make a ticket. A router that did not mint a ticket can't check it; it reads
//! the minter's name and forwards the request there.

use std::fmt;
use std::str::FromStr;

use hmac::Hmac;
use hmac::Mac;
use rand::Rng;
use sha2::Sha256;

use crate::core::event::TicketName;
use crate::units::RouterIncarnation;

/// Bytes of the code in a ticket.
const MAC_BYTES: usize = 16;

/// Bytes of a router's secret: one block of the hash.
pub const SECRET_BYTES: usize = 64;

/// First field of a ticket's text.
const VERSION: &str = "v1";

/// Digits of the minter and of the number.
const NUMBER_DIGITS: usize = 16;

/// A ticket as it was read from a request; its code is not checked yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketText {
    /// What it names.
    pub name: TicketName,
    mac: [u8; MAC_BYTES],
}

/// Why a text is not a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketError {
    /// It does not have a ticket's form.
    Malformed,
    /// Its code is wrong: this router life did not mint it.
    Forged,
}

impl fmt::Display for TicketError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Malformed => "the ticket is not of the form v1.<minter>.<number>.<code>",
            Self::Forged => "the ticket was not minted by this router",
        })
    }
}

impl std::error::Error for TicketError {}

impl fmt::Display for TicketText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TicketName { minter, number } = self.name;
        write!(formatter, "{VERSION}.{:016x}.{number:016x}.", minter.0)?;
        self.mac
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for TicketText {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split('.');
        let mut field = || fields.next().ok_or(TicketError::Malformed);
        if field()? != VERSION {
            return Err(TicketError::Malformed);
        }
        let minter = RouterIncarnation(parse_number(field()?)?);
        let number = parse_number(field()?)?;
        let mac = parse_mac(field()?)?;
        if fields.next().is_some() {
            return Err(TicketError::Malformed);
        }
        Ok(Self {
            name: TicketName { minter, number },
            mac,
        })
    }
}

fn is_plain_hex(text: &str) -> bool {
    text.bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

fn parse_number(text: &str) -> Result<u64, TicketError> {
    if text.len() != NUMBER_DIGITS || !is_plain_hex(text) {
        return Err(TicketError::Malformed);
    }
    u64::from_str_radix(text, 16).map_err(|_| TicketError::Malformed)
}

fn parse_mac(text: &str) -> Result<[u8; MAC_BYTES], TicketError> {
    if text.len() != 2 * MAC_BYTES || !is_plain_hex(text) {
        return Err(TicketError::Malformed);
    }
    let number = u128::from_str_radix(text, 16).map_err(|_| TicketError::Malformed)?;
    Ok(number.to_be_bytes())
}

/// Makes and checks the tickets of one router life.
#[derive(Clone)]
pub struct TicketSigner {
    minter: RouterIncarnation,
    secret: [u8; SECRET_BYTES],
}

impl fmt::Debug for TicketSigner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("TicketSigner")
            .field("minter", &self.minter)
            .finish_non_exhaustive()
    }
}

impl TicketSigner {
    /// A signer with a secret from the system's random numbers.
    #[must_use]
    pub fn random(minter: RouterIncarnation) -> Self {
        let mut secret = [0; SECRET_BYTES];
        rand::rng().fill_bytes(&mut secret);
        Self::new(minter, secret)
    }

    /// A signer with a given secret.
    #[must_use]
    pub fn new(minter: RouterIncarnation, secret: [u8; SECRET_BYTES]) -> Self {
        Self { minter, secret }
    }

    /// The text of a ticket that this router's core minted.
    #[must_use]
    pub fn sign(&self, name: TicketName) -> TicketText {
        let code = self.code(name).finalize().into_bytes();
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&code[..MAC_BYTES]);
        TicketText { name, mac }
    }

    /// What the core is told of a ticket: its name. A ticket of another minter is passed as it
    /// is, for the core to forward; that minter checks it. Takes the same time for all codes.
    ///
    /// # Errors
    ///
    /// [`TicketError::Forged`] if it names this router life but was not minted by it.
    pub fn check(&self, ticket: &TicketText) -> Result<TicketName, TicketError> {
        if ticket.name.minter != self.minter {
            return Ok(ticket.name);
        }
        self.code(ticket.name)
            .verify_truncated_left(&ticket.mac)
            .map_err(|_| TicketError::Forged)?;
        Ok(ticket.name)
    }

    fn code(&self, name: TicketName) -> Hmac<Sha256> {
        let mut code = <Hmac<Sha256> as Mac>::new(&self.secret.into());
        code.update(VERSION.as_bytes());
        code.update(&name.minter.0.to_be_bytes());
        code.update(&name.number.to_be_bytes());
        code
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn signer() -> TicketSigner {
        TicketSigner::new(RouterIncarnation(9), [7; SECRET_BYTES])
    }

    fn name(number: u64) -> TicketName {
        TicketName {
            minter: RouterIncarnation(9),
            number,
        }
    }

    #[test]
    fn a_minted_ticket_is_read_back() {
        let text = signer().sign(name(3)).to_string();
        let ticket: TicketText = text.parse().unwrap();
        assert_eq!(signer().check(&ticket), Ok(name(3)));
    }

    #[test]
    fn another_number_needs_another_code() {
        let mut ticket = signer().sign(name(3));
        ticket.name.number = 4;
        assert_eq!(signer().check(&ticket), Err(TicketError::Forged));
    }

    #[test]
    fn the_secret_is_not_printed() {
        assert!(!format!("{:?}", signer()).contains("secret"));
    }
}
