"""Conversions of settings that name places and things."""

from collections.abc import Callable
from ipaddress import IPv4Address
from typing import Any
from urllib.parse import urlsplit

from attrs import frozen

from catkinslip.models import Address
from catkinslip.settings.base import Conversion, words

MAX_PORT = 65535


@frozen
class FormConversion(Conversion):
    """Convert to a value of a described form."""

    form: str
    parse: Callable[[str], Any]

    @property
    def text(self) -> str:
        """Return what the value must be, for help and errors."""
        return self.form

    def __call__(self, text: str) -> Any:
        """Convert a text; raise ValueError when it is wrong."""
        return self.parse(text)


def parse_url(text: str) -> str:
    """Return the URL without a slash at its end; raise ValueError when wrong."""
    parts = urlsplit(text)
    if parts.scheme not in ('http', 'https') or not parts.hostname:
        raise ValueError(text)
    if parts.query or parts.fragment or parts.port == 0:
        raise ValueError(text)
    return text.rstrip('/')


def parse_address(text: str) -> str:
    """Return host:port; raise ValueError when the port is not one."""
    address = Address.parse(text)
    if not 0 < address.port <= MAX_PORT:
        raise ValueError(text)
    return str(address)


def parse_ip_number(text: str) -> str:
    """Return the number, which others are told; raise ValueError when wrong."""
    number = IPv4Address(text)
    if number.is_unspecified:
        raise ValueError(text)
    return str(number)


def parse_required(text: str) -> str:
    """Return the text; raise ValueError when it is empty."""
    if not text:
        raise ValueError(text)
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Return all addresses; raise ValueError when one is wrong."""
    return tuple(parse_address(word) for word in words(text))


def parse_some_addresses(text: str) -> tuple[str, ...]:
    """Return at least one address; raise ValueError when one is wrong."""
    return parse_addresses(parse_required(text))


def optional_url(text: str) -> str:
    """Return a URL or an empty text; raise ValueError when it is wrong."""
    return parse_url(text) if text else ''


required = FormConversion('a text that is not empty', parse_required)
ip_number = FormConversion('an IPv4 number that others can reach', parse_ip_number)
http_url = FormConversion('http://host:port or https://host:port', parse_url)
http_url_or_empty = FormConversion(
    'http://host:port, https://host:port or empty', optional_url
)
addresses = FormConversion('host:port, separated by commas', parse_addresses)
some_addresses = FormConversion(
    'host:port, or several separated by commas', parse_some_addresses
)


def optional(conversion: Conversion) -> FormConversion:
    """Return a conversion that turns an empty text into None."""
    return FormConversion(
        f'{conversion.text}, or empty',
        lambda text: conversion(text) if text else None,
    )
