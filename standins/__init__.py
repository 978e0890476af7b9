"""Development stand-ins for the platform; the product never imports them."""
