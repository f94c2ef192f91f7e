"""Protection of backend servers from requests that crash them."""
