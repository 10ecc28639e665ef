"""Stand-ins of the platform, for the cases of the second review.

They use the standard library only, and know nothing of the code under review but the
pages' protocol.
"""
