//! Tickets in the text form that callers get, which only the router incarnation that minted a
//! ticket can produce.
//!
//! The text is `v1.<minter>.<number>.<mac>`, all in lower-case hexadecimal. The MAC at the end is
//! a truncated HMAC, keyed with a random secret that the router generates at its start and never
//! shares, so a caller can't guess or forge a ticket. A router that did not mint a ticket can't
//! verify it; it reads the minter's incarnation and forwards the request there.

use std::fmt;
use std::str::FromStr;

use hmac::Hmac;
use hmac::Mac;
use rand::Rng;
use sha2::Sha256;

use crate::core::event::TicketName;
use crate::units::RouterIncarnation;

/// Bytes of the MAC in a ticket; the HMAC is truncated to this length.
const MAC_BYTES: usize = 16;

/// Bytes of a router's secret: one block of SHA-256.
pub const SECRET_BYTES: usize = 64;

/// First field of a ticket's text: the format version.
const VERSION: &str = "v1";

/// Hexadecimal digits of the minter and of the number, each.
const NUMBER_DIGITS: usize = 16;

/// A ticket with its MAC. One that was parsed from a request is not yet verified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketText {
    /// The minter and number.
    pub name: TicketName,
    mac: [u8; MAC_BYTES],
}

/// Why a text is not a valid ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketError {
    /// The text does not have the form of a ticket.
    Malformed,
    /// The MAC is wrong: this router incarnation did not mint the ticket.
    Forged,
}

impl fmt::Display for TicketError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Malformed => "the ticket is not of the form v1.<minter>.<number>.<mac>",
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

/// Signs and verifies the tickets of one router incarnation.
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
    /// Creates a signer with a random secret.
    #[must_use]
    pub fn random(minter: RouterIncarnation) -> Self {
        let mut secret = [0; SECRET_BYTES];
        rand::rng().fill_bytes(&mut secret);
        Self::new(minter, secret)
    }

    /// Creates a signer with a given secret.
    #[must_use]
    pub fn new(minter: RouterIncarnation, secret: [u8; SECRET_BYTES]) -> Self {
        Self { minter, secret }
    }

    /// Signs a ticket that this router's core minted.
    #[must_use]
    pub fn sign(&self, name: TicketName) -> TicketText {
        let keyed_mac = self.keyed_mac(name).finalize().into_bytes();
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&keyed_mac[..MAC_BYTES]);
        TicketText { name, mac }
    }

    /// Verifies a ticket and returns its name for the core. A ticket of another minter is returned
    /// unverified: the core forwards the request to that minter, which verifies the ticket. The
    /// MAC is compared in constant time.
    ///
    /// # Errors
    ///
    /// [`TicketError::Forged`] if the ticket names this router incarnation but was not minted by
    /// it.
    pub fn check(&self, ticket: &TicketText) -> Result<TicketName, TicketError> {
        if ticket.name.minter != self.minter {
            return Ok(ticket.name);
        }
        self.keyed_mac(ticket.name)
            .verify_truncated_left(&ticket.mac)
            .map_err(|_| TicketError::Forged)?;
        Ok(ticket.name)
    }

    fn keyed_mac(&self, name: TicketName) -> Hmac<Sha256> {
        let mut keyed_mac = <Hmac<Sha256> as Mac>::new(&self.secret.into());
        keyed_mac.update(VERSION.as_bytes());
        keyed_mac.update(&name.minter.0.to_be_bytes());
        keyed_mac.update(&name.number.to_be_bytes());
        keyed_mac
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
    fn a_ticket_with_a_changed_number_is_rejected() {
        let mut ticket = signer().sign(name(3));
        ticket.name.number = 4;
        assert_eq!(signer().check(&ticket), Err(TicketError::Forged));
    }

    #[test]
    fn the_secret_is_not_printed() {
        assert!(!format!("{:?}", signer()).contains("secret"));
    }
}
